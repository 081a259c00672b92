/**
 * Evidence on the versions of a pool: how the upstreams of the new version and of those in service
 * answered. Each node counts since the order, so that totals replace each other in messages.
 */
import { monotonicMs } from '@hibiscusbank/core';
import { isNonNegative } from '../message-values.js';

/**
 * `failure`: bucket 1 for a failed answer, else 0. `first`: time to a response or to the first event
 * of a stream. `pace`: mean pause between its first events.
 */
export type Metric = 'failure' | 'first' | 'pace';

/** Buckets of times per doubling: neighbouring buckets differ by 19%. */
export const BUCKETS_PER_DOUBLING = 4;
/** Cells beyond which a report combines upstreams, so that it fits into one datagram. */
const MAX_CELLS = 800;
const MAX_ROUTES = 200;

/** Returns the bucket of a time. */
export function toBucket(ms: number): number {
  return Math.round(Math.log2(Math.max(1, ms)) * BUCKETS_PER_DOUBLING);
}

/** Number of answers in one bucket. `upstream` is empty for the version in service. */
export type EvidenceCell = readonly [
  route: string,
  upstream: string,
  metric: Metric,
  bucket: number,
  count: number,
];

/** What one node has seen since an order. */
export interface NodeEvidence {
  /** Time since the node learned of the order. */
  readonly ageMs: number;
  /** Requests of the pool by route. */
  readonly requests: Readonly<Record<string, number>>;
  /** Requests that were sent to the new version. */
  readonly sent: number;
  /** Requests in progress at versions in service. */
  readonly running: number;
  readonly cells: readonly EvidenceCell[];
}

export interface EvidenceRecord {
  countRequest(route: string): void;
  countSend(): void;
  /** Counts an answer; `upstream` is `undefined` for the version in service. */
  record(route: string, upstream: string | undefined, metric: Metric, bucket: number): void;
  report(running: number): NodeEvidence;
}

const METRICS: readonly string[] = ['failure', 'first', 'pace'] satisfies Metric[];

/** Buckets and counts in turn, by route, metric and upstream: names are not repeated in a message. */
type CompactCells = Record<string, Partial<Record<Metric, Record<string, number[]>>>>;

/** Evidence in the form in which it is sent. */
export interface CompactEvidence extends Omit<NodeEvidence, 'cells'> {
  readonly cells: CompactCells;
}

export function compactEvidence(evidence: NodeEvidence): CompactEvidence {
  const cells: CompactCells = {};
  for (const [route, upstream, metric, bucket, count] of evidence.cells) {
    const byMetric = cells[route] ?? {};
    cells[route] = byMetric;
    const byUpstream = byMetric[metric] ?? {};
    byMetric[metric] = byUpstream;
    byUpstream[upstream] = [...(byUpstream[upstream] ?? []), bucket, count];
  }
  return { ...evidence, cells };
}

export function expandEvidence(evidence: CompactEvidence): NodeEvidence {
  const cells: EvidenceCell[] = [];
  for (const [route, byMetric] of Object.entries(evidence.cells)) {
    for (const [metric, byUpstream] of Object.entries(byMetric)) {
      for (const [upstream, pairs] of Object.entries(byUpstream)) {
        for (let index = 0; index + 1 < pairs.length; index += 2)
          cells.push([
            route,
            upstream,
            metric as Metric,
            pairs[index] as number,
            pairs[index + 1] as number,
          ]);
      }
    }
  }
  return { ...evidence, cells };
}

const isObject = (value: unknown): value is object => typeof value === 'object' && value !== null;

function areCells(value: unknown): value is CompactCells {
  if (!isObject(value)) return false;
  return Object.values(value).every(
    (byMetric: unknown) =>
      isObject(byMetric) &&
      Object.entries(byMetric).every(
        ([metric, byUpstream]: [string, unknown]) =>
          METRICS.includes(metric) &&
          isObject(byUpstream) &&
          Object.values(byUpstream).every(
            (pairs: unknown) => Array.isArray(pairs) && pairs.every(isNonNegative),
          ),
      ),
  );
}

/** Whether a value from a peer is the evidence of a node. */
export function isCompactEvidence(value: unknown): value is CompactEvidence {
  const { ageMs, requests, sent, running, cells } = (value ?? {}) as Partial<CompactEvidence>;
  return (
    isNonNegative(ageMs) &&
    isNonNegative(sent) &&
    isNonNegative(running) &&
    isObject(requests) &&
    Object.values(requests).every(isNonNegative) &&
    areCells(cells)
  );
}

/** Creates the record of one node for one order, which it learns of now. */
export function createEvidenceRecord(): EvidenceRecord {
  const since = monotonicMs();
  const requests = new Map<string, number>();
  const cells = new Map<string, [...EvidenceCell]>();
  let sent = 0;

  return {
    countRequest: (route) => {
      if (requests.has(route) || requests.size < MAX_ROUTES)
        requests.set(route, (requests.get(route) ?? 0) + 1);
    },
    countSend: () => {
      sent += 1;
    },
    record: (route, upstream, metric, bucket) => {
      // Upstreams are told apart only while there is room; the last one stands for the rest.
      const isFull = cells.size >= MAX_CELLS;
      const name = upstream === undefined || !isFull ? (upstream ?? '') : 'others';
      const key = `${route}\u0000${name}\u0000${metric}\u0000${bucket}`;
      const cell = cells.get(key);
      if (cell !== undefined) cell[4] += 1;
      else cells.set(key, [route, name, metric, bucket, 1]);
    },
    report: (running) => ({
      ageMs: Math.round(monotonicMs() - since),
      requests: Object.fromEntries(requests),
      sent,
      running,
      cells: [...cells.values()],
    }),
  };
}

/** Adds up the evidence of all nodes. The age is the highest. */
export function mergeEvidence(all: readonly NodeEvidence[]): NodeEvidence {
  const requests = new Map<string, number>();
  const cells = new Map<string, [...EvidenceCell]>();
  let sent = 0;
  let running = 0;
  let ageMs = 0;
  for (const evidence of all) {
    sent += evidence.sent;
    running += evidence.running;
    ageMs = Math.max(ageMs, evidence.ageMs);
    for (const [route, count] of Object.entries(evidence.requests))
      requests.set(route, (requests.get(route) ?? 0) + count);
    for (const [route, upstream, metric, bucket, count] of evidence.cells) {
      const key = `${route}\u0000${upstream}\u0000${metric}\u0000${bucket}`;
      const cell = cells.get(key);
      if (cell !== undefined) cell[4] += count;
      else cells.set(key, [route, upstream, metric, bucket, count]);
    }
  }
  return {
    ageMs,
    requests: Object.fromEntries(requests),
    sent,
    running,
    cells: [...cells.values()],
  };
}
