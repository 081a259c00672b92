/**
 * Lists of entries that nodes read from each other. A node that cannot reach the store, or whose
 * watch hangs, sees in reports that peers know later revisions, and reads the list of a peer with
 * the latest one.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import { Hono } from 'hono';
import { Agent } from 'undici';
import type { EntryFeed } from './entry-feed.js';
import { openExchange, readFullBody } from './http-exchange.js';
import type { PeerReport } from './peer-reports.js';
import type { EntryList } from './ports.js';
import { comparePositions, isPosition, laterPosition, ORIGIN } from './store-era.js';
import type { StorePosition } from './store-era.js';
import { startTimeLimit } from './time-limit.js';

/**
 * Time within which this node's watch of the store usually delivers a change that a peer reported.
 * Only after this time does the node read a peer's list.
 */
const LOCAL_WATCH_MS = 450;
/** Pause between two attempts to read a list. */
const RETRY_PAUSE_MS = 150;
const READ_TIMEOUT_MS = 1_000;
const LISTS_PATH = '/lists/';

export interface PeerListsOptions {
  readonly feeds: Readonly<Record<string, EntryFeed>>;
  /** Returns the last reports of the live peers. */
  readonly reports: () => readonly PeerReport[];
  /** Returns a number from 0 to 1 that selects one of the peers with the latest revision. */
  readonly random: () => number;
  readonly telemetry: Telemetry;
}

export interface PeerLists {
  /** HTTP handlers that serve lists to peers. */
  readonly app: Hono;
  /** Compares the revisions that peers reported with the local ones. Called after each report. */
  checkRevisions(): void;
  stop(): void;
}

function isEntryList(value: unknown): value is EntryList {
  const { entries } = (value ?? {}) as Partial<EntryList>;
  return isPosition(value) && Array.isArray(entries) && entries.every(isPosition);
}

/** Returns the position of the last change of a kind that a peer reported. */
function readChange({ revisions }: PeerReport, kind: string): StorePosition {
  const position = { era: revisions[kind]?.era, revision: revisions[kind]?.change };
  return isPosition(position) ? position : ORIGIN;
}

function findNewest(reports: readonly PeerReport[], kind: string): StorePosition {
  return reports.map((report) => readChange(report, kind)).reduce(laterPosition, ORIGIN);
}

/** Creates the exchange of lists of one node. */
export function createPeerLists(options: PeerListsOptions): PeerLists {
  const { feeds, reports, random, telemetry } = options;
  const agent = new Agent({ keepAliveTimeout: 1_000 });
  const lagging = new Map<string, { readonly change: StorePosition; readonly since: number }>();
  const reading = new Set<string>();
  let timer: NodeJS.Timeout | undefined;
  let check = (): void => {};

  const scheduleCheck = (ms: number): void => {
    timer ??= setTimeout(() => {
      timer = undefined;
      check();
    }, ms);
  };

  const app = new Hono();
  app.get(`${LISTS_PATH}:kind`, (c) => {
    const feed = feeds[c.req.param('kind')];
    return feed === undefined ? c.notFound() : c.json(feed.list());
  });

  const fetchList = async (peer: PeerReport, kind: string): Promise<EntryList | undefined> => {
    const limit = startTimeLimit(new AbortController().signal, READ_TIMEOUT_MS);
    const dispatcher = agent.compose(
      (dispatch) => (dispatched, handler) =>
        dispatch({ ...dispatched, origin: `http://${peer.host}:${peer.port}` }, handler),
    );
    const result = await openExchange(dispatcher, {
      method: 'GET',
      path: `${LISTS_PATH}${kind}`,
      headers: {},
      signal: limit.signal,
    });
    const body =
      result.ok && result.reply.status === 200 ? await readFullBody(result.reply) : undefined;
    limit.stop();
    if (body === undefined) return undefined;
    const value: unknown = JSON.parse(body.toString());
    return isEntryList(value) ? value : undefined;
  };

  const fetchNewest = async (kind: string, feed: EntryFeed): Promise<void> => {
    const known = reports();
    const newest = findNewest(known, kind);
    const candidates = known.filter(
      (report) => comparePositions(readChange(report, kind), newest) === 0,
    );
    const peer = candidates[Math.floor(random() * candidates.length)];
    if (peer === undefined || reading.has(kind)) return;
    reading.add(kind);
    try {
      const list = await fetchList(peer, kind);
      const adopted = list !== undefined && feed.adopt(list);
      telemetry.log('peerListRead', {
        kind,
        peer: peer.node,
        era: list?.era,
        revision: list?.revision,
        adopted,
        storeSilentMs: Math.round(feed.sinceLastContactMs()),
      });
    } catch (thrown) {
      telemetry.log('peerListRead', { kind, peer: peer.node, error: String(thrown) });
    } finally {
      reading.delete(kind);
      scheduleCheck(RETRY_PAUSE_MS);
    }
  };

  check = (): void => {
    const now = monotonicMs();
    for (const [kind, feed] of Object.entries(feeds)) {
      const newest = findNewest(reports(), kind);
      const position = feed.position();
      const known = lagging.get(kind);
      if (known !== undefined && comparePositions(position, known.change) >= 0)
        lagging.delete(kind);
      if (comparePositions(newest, position) > 0 && !lagging.has(kind)) {
        lagging.set(kind, { change: newest, since: now });
      }
      const lag = lagging.get(kind);
      if (lag === undefined) continue;
      const remainingMs = lag.since + LOCAL_WATCH_MS - now;
      if (remainingMs > 0) scheduleCheck(remainingMs);
      else void fetchNewest(kind, feed);
    }
  };

  return {
    app,
    checkRevisions: () => check(),
    stop: () => {
      check = () => {};
      clearTimeout(timer);
      void agent.close();
    },
  };
}
