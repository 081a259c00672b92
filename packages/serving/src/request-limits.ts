/** Keeps all nodes together within the request rates to which upstreams limit them. */
import type { Telemetry } from '@hibiscusbank/core';
import type { PeerDatagrams } from './peer-datagrams.js';
import type { KnownPeer } from './peer-reports.js';
import { createRequestPermits } from './request-permits.js';
import type { PermitUpstream, RequestPermits } from './request-permits.js';
import { createStatedLimits, isLimitNotice } from './stated-limits.js';
import type { LimitStatement } from './stated-limits.js';

export interface RequestLimitsOptions {
  readonly self: KnownPeer;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  /** Returns the other nodes. */
  readonly peers: () => readonly KnownPeer[];
  /** Whether a node has stopped reporting. */
  readonly isSilent: (node: string) => boolean;
  /** Returns the number of registered nodes. */
  readonly fleetSize: () => number;
  /** Returns the fraction of the fleet that this node has contact with, itself included. */
  readonly reachableShare: () => number;
  readonly telemetry: Telemetry;
}

export interface RequestLimits extends Omit<RequestPermits, 'receive' | 'expectedRate'> {
  /**
   * Records the limit in a response to a request that was sent at `sentAt`; `undefined` if it states
   * none.
   */
  record(upstream: PermitUpstream, perSecond: number | undefined, sentAt: number): void;
  /**
   * Returns the requests per second that this node may expect to send to the given upstreams, or
   * `undefined` if one of them has no limit.
   */
  expectedRate(upstreams: readonly PermitUpstream[]): number | undefined;
  /** Handles a message from a peer. Returns false when it is not about limits. */
  receive(message: unknown): boolean;
  /** Returns the known limits for the report to peers. */
  report(): readonly LimitStatement[];
  /** Applies the limits that a peer reports. */
  applyReport(statements: unknown): void;
}

/** Creates the limits of one node. */
export function createRequestLimits(options: RequestLimitsOptions): RequestLimits {
  const { datagrams, peers, telemetry } = options;
  const limits = createStatedLimits({
    onFirstStatement: (limitNotice) => datagrams.send({ limitNotice }, peers()),
    telemetry,
  });
  const permits = createRequestPermits({ ...options, limits });
  return {
    record: limits.record,
    mayAsk: permits.mayAsk,
    nextPermitMs: permits.nextPermitMs,
    acquire: permits.acquire,
    expectedRate: (upstreams) => {
      let total = 0;
      for (const upstream of upstreams) {
        const rate = permits.expectedRate(upstream);
        if (rate === undefined) return undefined;
        total += rate;
      }
      return total;
    },
    receive: (message) => {
      if (permits.receive(message)) return true;
      if (!isLimitNotice(message)) return false;
      limits.applyReport([message.limitNotice]);
      return true;
    },
    report: limits.report,
    applyReport: limits.applyReport,
    retain: (upstreams) => {
      limits.retain(upstreams);
      permits.retain(upstreams);
    },
  };
}
