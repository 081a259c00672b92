/**
 * Remembers the request rates to which upstreams limit all nodes together. An upstream states its
 * limit in its responses, so a node learns it from its own responses and from peers. The statement
 * about a process that was made last holds.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import { isNonNegative } from './message-values.js';
import type { ServingUpstream } from './types.js';

/** Time for which nodes tell each other that an upstream no longer states a limit. */
const LIFTED_REPORT_MS = 10_000;
/** Limits up to this number of upstreams fit into a report beside its other parts. */
const MAX_REPORTED_LIMITS = 200;

/** The last statement about one upstream's limit, as nodes report it to each other. */
export interface LimitStatement {
  readonly upstream: string;
  /** Start of the upstream's process in Unix milliseconds. */
  readonly startedAt: number;
  /** Requests per second from all nodes together; `null` if the upstream states no limit any more. */
  readonly perSecond: number | null;
  /** Time since the statement, in milliseconds. */
  readonly ageMs: number;
}

type Process = Pick<ServingUpstream, 'id' | 'startedAt' | 'pool'>;

interface KnownLimit {
  readonly startedAt: number;
  readonly pool: string | undefined;
  readonly perSecond: number | undefined;
  readonly statedAt: number;
  /** Time since which the process has stated a limit, if it states one. */
  readonly since: number;
}

export interface StatedLimitsOptions {
  /** Called when this node is the first to learn of a limit. */
  readonly onFirstStatement: (statement: LimitStatement) => void;
  readonly telemetry: Telemetry;
}

export interface StatedLimits {
  /**
   * Records the limit in a response to a request that was sent at `sentAt`; `undefined` if it states
   * none. A response to a request from before the last statement does not lift the limit.
   */
  record(upstream: Process, perSecond: number | undefined, sentAt: number): void;
  /** Returns the limit in requests per second, if the upstream states one. */
  find(upstream: Pick<Process, 'id' | 'startedAt'>): number | undefined;
  /** Returns what is known about an upstream, for a message to a peer. */
  describe(upstream: Pick<Process, 'id' | 'startedAt'>): LimitStatement | undefined;
  report(): readonly LimitStatement[];
  /** Applies statements that a peer reports. */
  applyReport(statements: unknown): void;
  /** Drops the limits of all upstreams except the given ones. */
  retain(upstreams: readonly Process[]): void;
}

/** Whether a value from a peer is a statement about a limit. */
export function isLimitStatement(value: unknown): value is LimitStatement {
  const { upstream, startedAt, perSecond, ageMs } = (value ?? {}) as Partial<LimitStatement>;
  return (
    typeof upstream === 'string' &&
    typeof startedAt === 'number' &&
    (perSecond === null || isNonNegative(perSecond)) &&
    isNonNegative(ageMs)
  );
}

/** Message by which a node tells its peers at once of a limit that it is the first to learn. */
export interface LimitNotice {
  readonly limitNotice: LimitStatement;
}

export function isLimitNotice(message: unknown): message is LimitNotice {
  return isLimitStatement((message as Partial<LimitNotice> | null)?.limitNotice);
}

/** Creates the record of one node. */
export function createStatedLimits(options: StatedLimitsOptions): StatedLimits {
  const { telemetry } = options;
  const limits = new Map<string, KnownLimit>();

  const countLimited = (): void => {
    telemetry.metrics.limitedUpstreams.reset();
    for (const { pool, perSecond } of limits.values()) {
      if (perSecond !== undefined) telemetry.metrics.limitedUpstreams.inc({ pool: pool ?? '' });
    }
  };

  const store = (id: string, next: Omit<KnownLimit, 'since'>): void => {
    const known = limits.get(id);
    const isSame = known?.startedAt === next.startedAt && known.perSecond === next.perSecond;
    const isStill = known?.startedAt === next.startedAt && known.perSecond !== undefined;
    limits.set(id, {
      ...next,
      pool: next.pool ?? known?.pool,
      since: isStill ? known.since : monotonicMs(),
    });
    if (isSame) return;
    countLimited();
    // A limit may change with each response, so only its beginning and its end are logged.
    if (next.perSecond !== undefined) {
      if (!isStill)
        telemetry.log('upstreamLimitStated', { upstream: id, perSecond: next.perSecond });
    } else if (known?.perSecond !== undefined) {
      telemetry.log('upstreamLimitLifted', {
        upstream: id,
        before: known.perSecond,
        ms: Math.round(monotonicMs() - known.since),
      });
    }
  };

  const toStatement = (id: string, limit: KnownLimit): LimitStatement => ({
    upstream: id,
    startedAt: limit.startedAt,
    perSecond: limit.perSecond ?? null,
    ageMs: Math.max(0, Math.round(monotonicMs() - limit.statedAt)),
  });

  const findCurrent = ({ id, startedAt }: Pick<Process, 'id' | 'startedAt'>) => {
    const known = limits.get(id);
    return known?.startedAt === startedAt ? known : undefined;
  };

  const apply = ({ upstream, startedAt, perSecond, ageMs }: LimitStatement): void => {
    const known = limits.get(upstream);
    const statedAt = monotonicMs() - ageMs;
    if (known === undefined && perSecond === null) return;
    if (known !== undefined) {
      if (startedAt < known.startedAt) return;
      if (startedAt === known.startedAt && statedAt <= known.statedAt) return;
    }
    store(upstream, { startedAt, pool: undefined, perSecond: perSecond ?? undefined, statedAt });
  };

  return {
    record: (upstream, perSecond, sentAt) => {
      const { id, startedAt, pool } = upstream;
      const known = findCurrent(upstream);
      if (perSecond === undefined && (known === undefined || sentAt < known.statedAt)) return;
      store(id, { startedAt, pool, perSecond, statedAt: monotonicMs() });
      const isFirst = known?.perSecond === undefined && perSecond !== undefined;
      if (isFirst) options.onFirstStatement({ upstream: id, startedAt, perSecond, ageMs: 0 });
    },
    find: (upstream) => findCurrent(upstream)?.perSecond,
    describe: (upstream) => {
      const known = findCurrent(upstream);
      return known === undefined ? undefined : toStatement(upstream.id, known);
    },
    report: () =>
      [...limits]
        .filter(
          ([, { perSecond, statedAt }]) =>
            perSecond !== undefined || monotonicMs() - statedAt < LIFTED_REPORT_MS,
        )
        .slice(0, MAX_REPORTED_LIMITS)
        .map(([id, limit]) => toStatement(id, limit)),
    applyReport: (statements) => {
      if (!Array.isArray(statements)) return;
      for (const statement of statements.slice(0, MAX_REPORTED_LIMITS)) {
        if (isLimitStatement(statement)) apply(statement);
        else telemetry.log('peerReportRejected', { error: 'invalid limit in a report' });
      }
    },
    retain: (upstreams) => {
      const startTimes = new Map<string, number>(
        upstreams.map(({ id, startedAt }) => [id, startedAt]),
      );
      for (const [id, { startedAt }] of limits) {
        const currentStart = startTimes.get(id);
        if (currentStart === undefined || currentStart > startedAt) limits.delete(id);
      }
      countLimited();
    },
  };
}
