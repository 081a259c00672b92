/** Keeps what upstreams state about themselves in their responses, and tells the peers. */
import { createRequestLimits } from './request-limits.js';
import type { RequestLimits, RequestLimitsOptions } from './request-limits.js';
import type { UpstreamTransport } from './ports.js';
import { createUnavailableUpstreams } from './unavailable-upstreams.js';
import type { UnavailableUpstreams } from './unavailable-upstreams.js';

export interface UpstreamStatementsOptions extends RequestLimitsOptions {
  readonly transport: Pick<UpstreamTransport, 'onStatement'>;
}

export interface UpstreamStatements {
  readonly limits: RequestLimits;
  readonly unavailable: UnavailableUpstreams;
}

/** Creates the records of one node, which follow all responses of the transport. */
export function createUpstreamStatements(options: UpstreamStatementsOptions): UpstreamStatements {
  const { datagrams, peers, telemetry, transport } = options;
  const limits = createRequestLimits(options);
  const unavailable = createUnavailableUpstreams({
    onLeaving: (leavingNotice) => datagrams.send({ leavingNotice }, peers()),
    telemetry,
  });
  transport.onStatement((upstream, statement) => {
    unavailable.record(upstream, statement);
    const { limit, sentAt } = statement;
    if (limit !== undefined) limits.record(upstream, limit.perSecond, sentAt);
  });
  return { limits, unavailable };
}
