/** Plays nodes that exchange reports of spending, and debit one organisation. */
import { createTelemetry, organisationId } from '@hibiscusbank/core';
import { vi } from 'vitest';
import { createDataCentreContact } from '../../src/data-centre-contact.js';
import type { DataCentreContact } from '../../src/data-centre-contact.js';
import { createOrganisationQuota } from '../../src/organisation-quota.js';
import type { OrganisationQuota } from '../../src/organisation-quota.js';
import {
  isLargeFleet,
  localReportIntervalMs,
  remoteReportIntervalMs,
} from '../../src/peer-reports.js';
import { createQuotaGrants } from '../../src/quota-grants.js';
import type { QuotaGrants } from '../../src/quota-grants.js';

export const RATE = 30_000;
export const BURST = 30_000;
export const TOLERANCE = { windowMs: 8_000, ratio: 0.1, allowance: 110_000 };
export const STREAM_TOKENS = 8_000;
export const STEP_MS = 50;
export const REPORT_MS = 200;
/** Time until a node notices that it no longer hears from another one. */
const TIMEOUT_MS = 1_200;
export const WINDOW_LIMIT =
  (RATE * (TOLERANCE.windowMs / 1_000) + BURST) * (1 + TOLERANCE.ratio) + TOLERANCE.allowance;

export const organisation = {
  id: organisationId('workshop'),
  keys: [],
  priority: undefined,
  ratePerSecond: RATE,
  burst: BURST,
  countsTokens: true,
  defaultTokens: 200,
};

interface SimulatedNode {
  quota: OrganisationQuota;
  grants: QuotaGrants;
  hear: (sender: string, epoch: number) => void;
  contact: DataCentreContact;
  epoch: number;
  share: number;
  /** Tokens asked of this node that do not make up a whole request yet. */
  backlog: number;
}

export interface Simulation {
  readonly nodes: number;
  readonly seconds: number;
  /** Tokens per second that the organisation asks of all nodes together. */
  readonly demand: (second: number) => number;
  /** Whether two nodes reach each other. */
  readonly isConnected?: (a: number, b: number, ms: number) => boolean;
  readonly dataCentres?: number;
  /** Interval between two reports of one node to another. */
  readonly intervalMs?: (a: number, b: number) => number;
  /** Nodes that restart at a time. */
  readonly restarts?: (ms: number) => readonly number[];
  readonly hasFreeCapacity?: boolean;
  /** Whether a message between two nodes is lost. */
  readonly isLost?: () => boolean;
}

/** Start of a simulation in Unix milliseconds. */
const FIRST_EPOCH = 1_000_000;
/** Time of a message from one node to another. */
const MESSAGE_MS = 1;

/** Plays nodes that exchange reports, and returns the tokens granted by step and node. */
export async function playDemand(simulation: Simulation) {
  const { nodes, seconds, demand, isConnected = () => true } = simulation;
  const { intervalMs = () => REPORT_MS, dataCentres = 1 } = simulation;
  const dataCentreOf = (index: number): string => `dc${index % dataCentres}`;
  const hasFree = simulation.hasFreeCapacity ?? true;
  const telemetry = createTelemetry({}, () => {});
  const silent = new Set<number>();
  const peerOf = (index: number) => ({
    node: `node-${index}`,
    host: String(index),
    port: 1,
    dataCentre: dataCentreOf(index),
  });
  const peers = Array.from({ length: nodes }, (_, at) => peerOf(at));
  const fleet: SimulatedNode[] = [];
  let nowMs = 0;
  const deliver = (from: number, to: number, message: unknown): void => {
    const receiver = fleet[to];
    if (simulation.isLost?.() === true || !isConnected(from, to, nowMs)) return;
    // A process that has ended receives nothing.
    setTimeout(() => {
      if (fleet[to] === receiver) receiver?.grants.receive(message);
    }, MESSAGE_MS);
  };
  const createNode = (index: number, epoch: number, startedAt: number): SimulatedNode => {
    const node: SimulatedNode = {
      epoch,
      share: 1,
      // Requests do not arrive at all nodes at the same moment.
      backlog: (index / nodes) * STREAM_TOKENS,
      quota: undefined as never,
      grants: undefined as never,
      hear: () => {},
      contact: createDataCentreContact({
        local: dataCentreOf(index),
        peers: () => peers.filter((_, at) => at !== index),
        telemetry,
      }),
    };
    node.quota = createOrganisationQuota({
      reachableShare: () => node.share,
      tolerance: TOLERANCE,
      startedAt,
      epoch,
      dataCentre: dataCentreOf(index),
      reportIntervalMs: () => intervalMs(index, index + dataCentres),
      usesSummaries: () => isLargeFleet(nodes),
    });
    node.quota.setOrganisations([organisation]);
    const heardStarts = new Map<string, number>();
    node.hear = (sender, start) => heardStarts.set(sender, start);
    node.grants = createQuotaGrants({
      self: peerOf(index),
      quota: node.quota,
      peers: () => peers.filter((_, at) => at !== index),
      isSilent: (name) => {
        const pair = Number(name.slice('node-'.length)) * nodes + index;
        return silent.has(pair);
      },
      startOf: (name) => heardStarts.get(name),
      datagrams: {
        send: (message, recipients) => {
          for (const { host } of recipients) deliver(index, Number(host), message);
          return true;
        },
      },
      startedAt,
      epoch,
      windowMs: TOLERANCE.windowMs,
      telemetry,
    });
    return node;
  };
  for (let index = 0; index < nodes; index += 1) {
    fleet.push(createNode(index, FIRST_EPOCH - 60_000, performance.now() - 60_000));
  }
  const heardAt = new Float64Array(nodes * nodes);
  const granted: number[] = [];

  const exchangeReports = (ms: number): void => {
    fleet.forEach((receiver, to) => {
      let reached = 1;
      fleet.forEach((sender, from) => {
        if (from === to) return;
        const pair = from * nodes + to;
        const interval = Math.ceil(intervalMs(from, to) / REPORT_MS) * REPORT_MS;
        // Nodes report in turn, so reports to different peers fall on different rounds.
        const isTurn = (ms + (from * 7 + to * 13) * REPORT_MS) % interval === 0;
        if (isTurn && isConnected(from, to, ms)) {
          heardAt[pair] = ms;
          receiver.contact.record(dataCentreOf(from));
          receiver.grants.recordReport(`node-${from}`);
          receiver.hear(`node-${from}`, sender.epoch);
          receiver.quota.applyReport({
            node: `node-${from}`,
            dataCentre: dataCentreOf(from),
            startedAt: sender.epoch,
            spent: sender.quota.spent(),
            spentNearby: sender.quota.spentNearby(),
          });
        }
        const timeoutMs = Math.max(TIMEOUT_MS, 4 * interval);
        if (ms - (heardAt[pair] ?? 0) <= timeoutMs) {
          if (receiver.contact.isHeard(dataCentreOf(from))) reached += 1;
          silent.delete(pair);
        } else {
          receiver.quota.markAbsent(`node-${from}`);
          silent.add(pair);
        }
      });
      receiver.contact.check().forEach(receiver.quota.markAbsent);
      receiver.share = reached / nodes;
    });
  };

  for (let ms = 0; ms < seconds * 1_000; ms += STEP_MS) {
    nowMs = ms;
    for (const index of simulation.restarts?.(ms) ?? []) {
      const { backlog = 0 } = fleet[index] ?? {};
      fleet[index] = { ...createNode(index, FIRST_EPOCH + ms + 1, performance.now()), backlog };
    }
    if (ms % REPORT_MS === 0) exchangeReports(ms);
    const perNode = (demand(ms / 1_000) * STEP_MS) / 1_000 / nodes;
    const step = granted.push(0) - 1;
    for (const node of fleet) {
      for (node.backlog += perNode; node.backlog >= STREAM_TOKENS; node.backlog -= STREAM_TOKENS) {
        void Promise.resolve(node.grants.debit(organisation, STREAM_TOKENS, hasFree)).then(
          ({ isGranted }) => {
            // Requests of a process that has ended reach no upstream.
            if (isGranted && fleet.includes(node))
              granted[step] = (granted[step] ?? 0) + STREAM_TOKENS;
          },
        );
      }
    }
    await vi.advanceTimersByTimeAsync(STEP_MS);
  }
  return granted;
}

export const total = (granted: readonly number[], from = 0, to = Infinity): number =>
  granted.slice(from, to).reduce((sum, tokens) => sum + tokens, 0);

export function largestWindow(granted: readonly number[]): number {
  const steps = TOLERANCE.windowMs / STEP_MS;
  return Math.max(...granted.map((_, start) => total(granted, start, start + steps)));
}

/** Returns the intervals between reports in a fleet of nodes that are spread over data centres. */
export function reportIntervals(nodes: number, dataCentres: number) {
  const local = nodes / dataCentres - 1;
  return (a: number, b: number): number =>
    a % dataCentres === b % dataCentres
      ? localReportIntervalMs(local, nodes)
      : remoteReportIntervalMs(nodes - local, nodes);
}
