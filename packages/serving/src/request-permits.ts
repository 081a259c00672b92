/**
 * Obtains permits for requests to upstreams that limit the rate of all nodes together. One node, the
 * granter, grants all permits for an upstream, so that the rate holds whichever nodes the requests
 * reach. It is selected by hash among the nodes in the upstream's data centre. While the granter
 * does not answer, each node uses its equal share of the rate.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import { createGranterSelection, UNANSWERED_PAUSE_MS } from './granter-selection.js';
import { isNonNegative, isPort } from './message-values.js';
import { createPeerAsks } from './peer-asks.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import type { KnownPeer } from './peer-reports.js';
import { createPermitGrants, GRANTER_POOL, OWN_SHARE_POOL } from './permit-grants.js';
import type { PermitAsk, PermitDecision } from './permit-grants.js';
import { isLimitStatement } from './stated-limits.js';
import type { LimitStatement, StatedLimits } from './stated-limits.js';
import type { ServingUpstream } from './types.js';

/** Time over which the rate of permits that this node gets is measured. */
const RATE_WINDOW_MS = 4_000;
const MS_PER_S = 1_000;

interface AskMessage {
  readonly permitAsk: PermitAsk & {
    readonly id: number;
    readonly from: { readonly node: string; readonly host: string; readonly port: number };
    readonly statement: LimitStatement;
    readonly dataCentre: string;
  };
}

interface AnswerMessage {
  readonly permitAnswer: PermitDecision & {
    readonly id: number;
    /** Whether the answering node is the granter as far as it knows. */
    readonly isGranter: boolean;
    readonly statement: LimitStatement | undefined;
  };
}

export interface RequestPermitsOptions {
  readonly self: KnownPeer;
  readonly limits: StatedLimits;
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

export type PermitUpstream = Pick<ServingUpstream, 'id' | 'startedAt' | 'dataCentre' | 'pool'>;

export interface RequestPermits {
  /** Whether a request that can wait for `maxWaitMs` may get a permit. Upstreams without limit: true. */
  mayAsk(upstream: PermitUpstream, maxWaitMs: number): boolean;
  /** Returns the time until the next permit of a limited upstream, as far as this node knows. */
  nextPermitMs(upstream: PermitUpstream): number;
  /** Asks for a permit. Always granted at once for an upstream that states no limit. */
  acquire(upstream: PermitUpstream, ask: PermitAsk): Promise<PermitDecision>;
  /**
   * Returns the requests per second that this node may expect to send to a limited upstream: its equal
   * share, or more if it has been granted more. `undefined` without a limit.
   */
  expectedRate(upstream: PermitUpstream): number | undefined;
  /** Handles a message from a peer. Returns false when it is not about permits. */
  receive(message: unknown): boolean;
  /** Drops the state of all upstreams except the given ones. */
  retain(upstreams: readonly PermitUpstream[]): void;
}

const GRANTED: PermitDecision = { isGranted: true, waitMs: 0, nextMs: 0 };

function isAsk(message: unknown): message is AskMessage {
  const { permitAsk } = (message ?? {}) as Partial<AskMessage>;
  return (
    isNonNegative(permitAsk?.id) &&
    typeof permitAsk.from?.host === 'string' &&
    isPort(permitAsk.from.port) &&
    isLimitStatement(permitAsk.statement) &&
    typeof permitAsk.dataCentre === 'string' &&
    typeof permitAsk.organisation === 'string' &&
    isNonNegative(permitAsk.priority) &&
    isNonNegative(permitAsk.onTargetMs) &&
    isNonNegative(permitAsk.maxWaitMs)
  );
}

function isAnswer(message: unknown): message is AnswerMessage {
  const { permitAnswer } = (message ?? {}) as Partial<AnswerMessage>;
  return (
    isNonNegative(permitAnswer?.id) &&
    isNonNegative(permitAnswer.waitMs) &&
    isNonNegative(permitAnswer.nextMs) &&
    typeof permitAnswer.isGranted === 'boolean' &&
    typeof permitAnswer.isGranter === 'boolean'
  );
}

/** Creates the permits of one node. */
export function createRequestPermits(options: RequestPermitsOptions): RequestPermits {
  const { self, limits, datagrams, telemetry } = options;
  // Nodes that select different granters for long after a partition would exceed the limit together.
  const granters = createGranterSelection({ ...options, maxPauseMs: UNANSWERED_PAUSE_MS });
  const grants = createPermitGrants(GRANTER_POOL);
  const ownShares = createPermitGrants(OWN_SHARE_POOL);
  const grantedAt = new Map<string, number[]>();
  const asks = createPeerAsks<AnswerMessage['permitAnswer']>({ granters, datagrams });
  /** Time before which the granter has no permit for an upstream. */
  const nextPermitAt = new Map<string, number>();

  /** Returns the times at which this node was granted permits for an upstream recently. */
  const recentGrants = (upstream: string): number[] => {
    const since = monotonicMs() - RATE_WINDOW_MS;
    const recent = (grantedAt.get(upstream) ?? []).filter((at) => at >= since);
    grantedAt.set(upstream, recent);
    return recent;
  };

  const grant = (upstream: string, perSecond: number, ask: PermitAsk): PermitDecision =>
    // On each side of a partition another node grants; together they keep to the limit.
    grants.decide(upstream, perSecond * options.reachableShare(), ask);

  const useOwnShare = (upstream: string, perSecond: number, ask: PermitAsk): PermitDecision =>
    ownShares.decide(upstream, perSecond / Math.max(1, options.fleetSize()), ask);

  const askGranter = (
    granter: KnownPeer,
    upstream: PermitUpstream,
    statement: LimitStatement,
    ask: PermitAsk,
  ): Promise<AnswerMessage['permitAnswer'] | undefined> =>
    asks.ask(granter, (id): AskMessage => {
      const { organisation, priority, onTargetMs, maxWaitMs } = ask;
      const { node, host, port } = self;
      const { dataCentre } = upstream;
      const from = { node, host, port };
      const permitAsk = { organisation, priority, onTargetMs, maxWaitMs, id, from, statement };
      return { permitAsk: { ...permitAsk, dataCentre } };
    });

  const decide = async (
    upstream: PermitUpstream,
    perSecond: number,
    ask: PermitAsk,
  ): Promise<PermitDecision> => {
    const { id } = upstream;
    const granter = granters.find(id, upstream.dataCentre);
    if (granter.node === self.node) return grant(id, perSecond, ask);
    const statement = limits.describe(upstream);
    if (statement === undefined) return GRANTED;
    const answer = await askGranter(granter, upstream, statement, ask);
    if (answer?.isGranter === true) {
      ownShares.forget(id);
      if (answer.statement !== undefined) limits.applyReport([answer.statement]);
      return answer;
    }
    telemetry.metrics.permits.inc({ pool: upstream.pool, outcome: 'unanswered' });
    return useOwnShare(id, perSecond, ask);
  };

  const answerAsk = ({ permitAsk: ask }: AskMessage): void => {
    const { id, from, statement, dataCentre } = ask;
    limits.applyReport([statement]);
    const key = { id: statement.upstream as ServingUpstream['id'], startedAt: statement.startedAt };
    const isGranter = granters.find(statement.upstream, dataCentre).node === self.node;
    const perSecond = limits.find(key);
    let decision: PermitDecision = { isGranted: false, waitMs: 0, nextMs: 0 };
    if (isGranter) decision = perSecond === undefined ? GRANTED : grant(key.id, perSecond, ask);
    const answer: AnswerMessage = {
      permitAnswer: { ...decision, id, isGranter, statement: limits.describe(key) },
    };
    datagrams.send(answer, [from]);
  };

  const nextPermitMs = (upstream: PermitUpstream): number =>
    limits.find(upstream) === undefined
      ? 0
      : Math.max(0, (nextPermitAt.get(upstream.id) ?? 0) - monotonicMs());

  return {
    nextPermitMs,
    mayAsk: (upstream, maxWaitMs) => nextPermitMs(upstream) <= maxWaitMs,
    acquire: async (upstream, ask) => {
      const perSecond = limits.find(upstream);
      if (perSecond === undefined) return GRANTED;
      const decision = await decide(upstream, perSecond, ask);
      nextPermitAt.set(upstream.id, monotonicMs() + decision.nextMs);
      if (decision.isGranted) recentGrants(upstream.id).push(monotonicMs());
      const outcome = decision.isGranted ? 'granted' : 'refused';
      telemetry.metrics.permits.inc({ pool: upstream.pool, outcome });
      return decision;
    },
    expectedRate: (upstream) => {
      const perSecond = limits.find(upstream);
      if (perSecond === undefined) return undefined;
      const recentPerSecond = (recentGrants(upstream.id).length * MS_PER_S) / RATE_WINDOW_MS;
      return Math.max(perSecond / Math.max(1, options.fleetSize()), recentPerSecond);
    },
    receive: (message) => {
      if (isAsk(message)) answerAsk(message);
      else if (isAnswer(message)) asks.settle(message.permitAnswer.id, message.permitAnswer);
      else return false;
      return true;
    },
    retain: (upstreams) => {
      const ids = new Set<string>(upstreams.map(({ id }) => id));
      const isKept = (id: string): boolean => ids.has(id);
      grants.retain(isKept);
      ownShares.retain(isKept);
      for (const map of [nextPermitAt, grantedAt]) {
        for (const id of map.keys()) if (!isKept(id)) map.delete(id);
      }
    },
  };
}
