/** Keeps all nodes together within the request rates to which upstreams limit them. */
import { createRequestPermits } from './request-permits.js';
import type { PermitUpstream, RequestPermits, RequestPermitsOptions } from './request-permits.js';
import { createStatedLimits, isLimitNotice } from './stated-limits.js';
import type { LimitStatement } from './stated-limits.js';

export type RequestLimitsOptions = Omit<RequestPermitsOptions, 'limits'>;

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
