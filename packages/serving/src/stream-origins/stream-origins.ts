/**
 * Finds the software version that began a stream which a caller resumes at this node, so that it goes on at
 * that version. A node remembers the streams that it began. While a pool has had several versions lately it
 * tells two peers of each, and keeps them in the store.
 *
 * Designed for processes that end alone or all at once, and for versions that leave while their streams
 * are resumed. Without a second version nothing is sent or stored for a stream.
 */
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { OrganisationId, PoolId, Telemetry } from '@hibiscusbank/core';
import type { PeerDatagrams } from '../peer-datagrams.js';
import type { KnownPeer } from '../peer-reports.js';
import type { EntryStore } from '../ports.js';
import type { UpstreamVersion } from '../rollouts/index.js';
import { splitIntoMessages } from '../split-into-messages.js';
import type { StoreEra } from '../store-era.js';
import type { ServingUpstream } from '../types.js';
import { createBegunStreams, toStreamKey } from './begun-streams.js';
import type { BegunStream, OriginSource } from './begun-streams.js';
import { encodeOrigins, isOriginAsk, isOriginNotice } from './origin-messages.js';
import type { OriginAsk, OriginNotice } from './origin-messages.js';
import { createStoredOrigins } from './stored-origins.js';
import { createVersionHistory } from './version-history.js';

/** Time in which streams that begin are collected for one message. */
const NOTICE_DELAY_MS = 20;
/** Maximum number of streams in a message, which has to fit into one datagram. */
const MAX_STREAMS_IN_MESSAGE = 400;
/** Maximum number of streams in the entry of a node; the latest are kept. */
const MAX_STORED_STREAMS = 5_000;
/** Time in which resumed streams are collected for one ask. */
const ASK_DELAY_MS = 5;
/** Interval between two asks about the same stream; peers answer within a round trip. */
const ASK_INTERVAL_MS = 100;
/** Time for which a resumed stream waits while nodes may still read what they stored before a restart. */
const MAX_WAIT_MS = 1_500;
/** Asks in vain after which a node without a history takes it that no other node has one. */
const ASKS_WITHOUT_HISTORY = 3;
/** Time after the start of a node in which it may still learn what it stored. */
const STARTING_MS = 5_000;
/** Nodes that do not report, whose entries are read for a stream that no peer knows. */
const MAX_ENTRIES_READ = 4;

/** A stream that a caller resumes, as far as its origin is concerned. */
export interface ResumedStream {
  readonly pool: PoolId;
  readonly organisation: OrganisationId | undefined;
  /** The attempt that brought the first event; `undefined` if the caller does not name it. */
  readonly firstAttempt: string | undefined;
}

export type StreamOrigin =
  | {
      readonly kind: 'known';
      readonly version: UpstreamVersion;
      /** `only_version`: no other one has served for longer than a stream lasts. */
      readonly source: OriginSource | 'only_version';
      readonly ageMs: number | undefined;
    }
  /** No upstream of the pool is known, so there is nothing to choose. */
  | { readonly kind: 'no_versions' }
  | {
      readonly kind: 'unknown';
      readonly reason: 'not named' | 'not recorded';
      readonly versions: readonly UpstreamVersion[];
    };

export interface StreamOrigins {
  /** Records the version of the engine that brought the first event of an attempt. */
  recordBegun(
    stream: ResumedStream & { readonly firstAttempt: string },
    version: UpstreamVersion,
  ): void;
  /** Finds the version that began a stream; waits up to 1.5 s while it may still be learned. */
  find(stream: ResumedStream, signal: AbortSignal): Promise<StreamOrigin>;
}

export interface StreamOriginService extends StreamOrigins {
  setUpstreams(upstreams: readonly ServingUpstream[]): void;
  /** Handles a message from a peer. Returns false when it is not about streams. */
  receive(message: unknown): boolean;
  /** Removes what a node stored that has gone for good. */
  forget(node: string): void;
  run(signal: AbortSignal): Promise<void>;
}

export interface StreamOriginsOptions {
  readonly self: KnownPeer;
  readonly store: EntryStore;
  readonly era: Pick<StoreEra, 'onChange'>;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  /** Returns all known nodes. */
  readonly recipients: () => readonly KnownPeer[];
  /** Returns the nodes that report, with the start of their processes in Unix milliseconds. */
  readonly livePeers: () => readonly (KnownPeer & { readonly startedAt: number })[];
  /** Returns the longest time between the first event of a stream and the last try to resume it. */
  readonly lifeMs: () => number;
  readonly random: () => number;
  readonly telemetry: Telemetry;
}

/** Creates the service of one node. Nothing is sent or stored before `run`. */
export function createStreamOrigins(options: StreamOriginsOptions): StreamOriginService {
  const { self, datagrams, recipients, livePeers, lifeMs, random, telemetry } = options;
  const startedAt = monotonicMs();
  const memory = createBegunStreams(lifeMs);
  const history = createVersionHistory(lifeMs);
  let mixedPools = new Set<PoolId>();
  let historyText = '';
  let hasPeerVersions = false;
  const untold: BegunStream[] = [];
  let noticeTimer: NodeJS.Timeout | undefined;
  /** Streams that are asked about next. */
  const toAsk = new Set<string>();
  let askTimer: NodeJS.Timeout | undefined;
  /** Functions that wake those who wait for a stream, by its key. */
  const waiting = new Map<string, Set<() => void>>();
  const entriesReadAt = new Map<string, number>();

  const learn = (
    { origins, versions }: Pick<OriginNotice, 'origins' | 'versions'>,
    source: Exclude<OriginSource, 'node'>,
  ): void => {
    history.merge(versions);
    for (const stream of origins) {
      memory.record(stream, source);
      waiting.get(stream.key)?.forEach((wake) => wake());
    }
  };

  const stored = createStoredOrigins({
    self: self.node,
    store: options.store,
    era: options.era,
    fleetSize: () => recipients().length + 1,
    toStored: () => {
      // Versions are forgotten by time as well.
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      applyHistory();
      const begun = memory.list((pool) => mixedPools.has(pool));
      return encodeOrigins(history.list(), begun.slice(0, MAX_STORED_STREAMS));
    },
    onRead: (notice) => learn(notice, 'store'),
    telemetry,
  });

  /** Returns two live peers that keep what this node knows when it ends alone, in different data centres if possible. */
  const choosePeers = (): readonly KnownPeer[] => {
    const ranked = livePeers()
      .map((peer) => ({ peer, rank: random() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ peer }) => peer);
    const [first] = ranked;
    const elsewhere = ranked.find(({ dataCentre }) => dataCentre !== first?.dataCentre);
    return [first, elsewhere ?? ranked[1]].filter((peer) => peer !== undefined);
  };

  const tellPeers = (): void => {
    noticeTimer = undefined;
    const chosen = choosePeers();
    for (const origins of splitIntoMessages(untold.splice(0), MAX_STREAMS_IN_MESSAGE)) {
      const notice: OriginNotice = { origins, versions: [], isHistoryKnown: false };
      datagrams.send(notice, chosen);
    }
  };

  const publish = (streams: readonly BegunStream[]): void => {
    if (streams.length === 0) return;
    untold.push(...streams);
    noticeTimer ??= setTimeout(tellPeers, NOTICE_DELAY_MS);
    stored.save();
  };

  /** Whether this node would know if other versions had served lately. */
  const isHistoryKnown = (): boolean =>
    stored.wasFound() || hasPeerVersions || monotonicMs() - startedAt > lifeMs();

  const ask = (): void => {
    askTimer = undefined;
    const keys = [...toAsk];
    toAsk.clear();
    for (const each of splitIntoMessages(keys, MAX_STREAMS_IN_MESSAGE)) {
      const message: OriginAsk = {
        originAsk: { from: self, keys: each, needsVersions: !isHistoryKnown() },
      };
      datagrams.send(message, recipients());
    }
  };

  const answer = ({ from, keys, needsVersions }: OriginAsk['originAsk']): void => {
    const origins = keys.map(memory.find).filter((stream) => stream !== undefined);
    const versions = needsVersions ? history.list() : [];
    if (origins.length === 0 && versions.length === 0) return;
    const notice: OriginNotice = {
      origins: origins.map(({ key, pool, version, ageMs }) => ({ key, pool, version, ageMs })),
      versions,
      isHistoryKnown: needsVersions && isHistoryKnown(),
    };
    datagrams.send(notice, [from]);
  };

  /** Reads what nodes stored that do not report; those that do answer themselves. */
  const readEntriesOfSilent = (): void => {
    const live = new Set(livePeers().map(({ node }) => node));
    const isDue = (node: string): boolean =>
      monotonicMs() - (entriesReadAt.get(node) ?? -Infinity) > MAX_WAIT_MS;
    const silent = recipients().filter(({ node }) => !live.has(node) && isDue(node));
    for (const { node } of silent.slice(0, MAX_ENTRIES_READ)) {
      entriesReadAt.set(node, monotonicMs());
      void stored.readOf(node);
    }
  };

  /** Whether a node, this one or a peer, may still read what it stored before it was restarted. */
  const mayBeLearned = (): boolean =>
    !stored.isRead() ||
    monotonicMs() - startedAt < STARTING_MS ||
    livePeers().some((peer) => Math.abs(Date.now() - peer.startedAt) < STARTING_MS);

  /** Asks the peers about a stream, and waits for the answer or the time of the next ask. */
  const askAbout = async (key: string, signal: AbortSignal): Promise<void> => {
    const learned = new AbortController();
    const wake = (): void => learned.abort();
    const wakers = waiting.get(key) ?? new Set();
    waiting.set(key, wakers.add(wake));
    signal.addEventListener('abort', wake, { once: true });
    toAsk.add(key);
    askTimer ??= setTimeout(ask, ASK_DELAY_MS);
    await sleep(ASK_INTERVAL_MS, learned.signal);
    signal.removeEventListener('abort', wake);
    wakers.delete(wake);
    if (wakers.size === 0) waiting.delete(key);
  };

  /** Returns what is known without an ask. */
  const findKnown = (pool: PoolId, key: string): StreamOrigin | undefined => {
    const begun = memory.find(key);
    if (begun?.pool !== pool) return undefined;
    const { version, source, ageMs } = begun;
    return { kind: 'known', version, source, ageMs };
  };

  const findOnlyVersion = (pool: PoolId): StreamOrigin | undefined => {
    const [version, ...others] = history.versionsOf(pool);
    if (version === undefined) return { kind: 'no_versions' };
    if (others.length > 0) return undefined;
    return { kind: 'known', version, source: 'only_version', ageMs: undefined };
  };

  const find = async (
    { pool, organisation, firstAttempt }: ResumedStream,
    signal: AbortSignal,
  ): Promise<StreamOrigin> => {
    const isNamed = firstAttempt !== undefined;
    const key = toStreamKey(organisation, firstAttempt ?? '');
    const until = monotonicMs() + MAX_WAIT_MS;
    let asks = 0;
    for (;;) {
      const known = isNamed ? findKnown(pool, key) : undefined;
      if (known !== undefined) return known;
      // After an ask in vain no other node has a history either, as in a fleet that starts for the first time.
      const isCertain = isHistoryKnown() || (asks >= ASKS_WITHOUT_HISTORY && stored.isRead());
      const only = isCertain ? findOnlyVersion(pool) : undefined;
      if (only !== undefined) return only;
      const isOver =
        signal.aborted || monotonicMs() >= until || (isCertain && asks > 0 && !mayBeLearned());
      if (isOver || (!isNamed && isCertain)) {
        const reason = isNamed ? 'not recorded' : 'not named';
        return { kind: 'unknown', reason, versions: history.versionsOf(pool) };
      }
      if (asks > 0) readEntriesOfSilent();
      await askAbout(key, signal);
      asks += 1;
    }
  };

  /** Publishes the streams of pools that have got a second version, and what versions there are. */
  const applyHistory = (): void => {
    const versions = history.list();
    const mixed = versions
      .map(({ pool }) => pool)
      .filter((pool, i, all) => all.indexOf(pool) !== i);
    const added = new Set(mixed.filter((pool) => !mixedPools.has(pool)));
    mixedPools = new Set(mixed);
    if (added.size > 0) publish(memory.list((pool) => added.has(pool)));
    const text = versions.map(({ pool, version }) => `${pool} ${version}`).join('\n');
    if (text === historyText) return;
    historyText = text;
    stored.save();
  };

  return {
    recordBegun: ({ pool, organisation, firstAttempt }, version) => {
      const key = toStreamKey(organisation, firstAttempt);
      const stream: BegunStream = { key, pool, version, ageMs: 0 };
      memory.record(stream, 'node');
      if (mixedPools.has(pool)) publish([stream]);
    },
    find: async (stream, signal) => {
      const origin = await find(stream, signal);
      const outcome = origin.kind === 'known' ? origin.source : origin.kind;
      telemetry.metrics.resumedStreams.inc({ pool: stream.pool, origin: outcome });
      return origin;
    },
    setUpstreams: (upstreams) => {
      history.setUpstreams(upstreams);
      applyHistory();
    },
    receive: (message) => {
      if (isOriginAsk(message)) answer(message.originAsk);
      else if (isOriginNotice(message)) {
        hasPeerVersions ||= message.isHistoryKnown;
        learn(message, 'peer');
        applyHistory();
      } else return false;
      return true;
    },
    forget: (node) => {
      void stored.forget(node);
    },
    run: (signal) => stored.run(signal),
  };
}
