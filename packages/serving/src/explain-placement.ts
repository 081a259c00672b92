/** Explains to operators where a given request would go now, and why, without sending it. */
import type { OrganisationId } from '@hibiscusbank/core';
import { Hono } from 'hono';
import type { AllocationView } from './allocation/index.js';
import { createPlacementContext } from './context.js';
import type { ServingContext } from './context.js';
import type { KnownUpstream } from './directory.js';
import { rankDecode, rankPlain } from './placement.js';
import type { PoolRollout } from './rollouts/index.js';
import { reservationTokens } from './reserve-engine.js';
import type { ModelUsage, ServingPool, ServingRoute } from './types.js';

const EXPLAIN_PATH = '/explain';
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;

/** Why an upstream gets no such request now; `undefined` if it may. */
type LeftOut =
  | 'leaving or out of service'
  | 'other version'
  | 'prefill engine'
  | 'changing, moved, paused or leaving'
  | 'at its rate limit'
  | 'failing or slow'
  | 'full'
  | undefined;

export interface ExplainedCandidate {
  readonly upstream: string;
  readonly dataCentre: string;
  readonly leftOut: LeftOut;
  /** Requests and tokens in use as this node knows them. */
  readonly requests: number;
  readonly tokens: number;
  readonly failureRate: number;
  /** Place in the ranking of this node, from 1; `undefined` if it is left out. */
  readonly rank: number | undefined;
}

export interface PlacementExplanation {
  readonly node: string;
  readonly route: string;
  readonly pool: string;
  /** Tokens that the request would reserve, 0 on a plain upstream. */
  readonly tokens: number;
  /** The roll-out of the pool, if an operator ordered one. */
  readonly rollout: PoolRollout | undefined;
  readonly candidates: readonly ExplainedCandidate[];
  /** Upstream that would be asked first by this node's own view. */
  readonly first: string | undefined;
  /** Set where one node allocates the pool for all; its view decides. */
  readonly allocation: AllocationView | undefined;
}

function explainCandidate(
  context: ServingContext,
  pool: ServingPool,
  upstream: KnownUpstream,
  ranked: readonly KnownUpstream[],
): ExplainedCandidate {
  const { readState } = createPlacementContext(context, pool, context.loads, new Set());
  const state = readState(upstream);
  const isSelected = context.rollouts
    .select(context.directory.usable(pool.id))
    .some(({ id }) => id === upstream.id);
  const index = ranked.findIndex(({ id }) => id === upstream.id);
  const findReason = (): LeftOut => {
    if (!context.directory.isUsable(upstream)) return 'leaving or out of service';
    if (!isSelected) return 'other version';
    if (upstream.role === 'prefill') return 'prefill engine';
    if (state.isChanging) return 'changing, moved, paused or leaving';
    if (!state.isWithinRateLimits) return 'at its rate limit';
    if (index >= 0) return undefined;
    return state.isEjected ? 'failing or slow' : 'full';
  };
  const leftOut = findReason();
  return {
    upstream: upstream.id,
    dataCentre: upstream.dataCentre,
    leftOut,
    requests: state.requests,
    tokens: state.tokens,
    failureRate: state.failureRate,
    rank: leftOut === undefined ? index + 1 : undefined,
  };
}

function explainRoute(
  node: string,
  context: ServingContext,
  route: ServingRoute,
  pool: ServingPool,
  usage: ModelUsage,
): PlacementExplanation {
  const { directory, rollouts } = context;
  const placement = createPlacementContext(context, pool, context.loads, new Set());
  const usable = rollouts.select(directory.usable(pool.id));
  const tokens = pool.engine === undefined ? 0 : reservationTokens(usage);
  const ranked =
    pool.engine === undefined
      ? rankPlain(usable, placement)
      : rankDecode(usable, placement, {
          tokens,
          memoryTokens: pool.engine.memoryTokens,
          slots: pool.engine.slots,
        });
  const candidates = directory
    .upstreams()
    .filter((upstream) => upstream.pool === pool.id)
    .map((upstream) => explainCandidate(context, pool, upstream, ranked))
    .sort(
      (a, b) => (a.rank ?? Infinity) - (b.rank ?? Infinity) || (a.upstream < b.upstream ? -1 : 1),
    );
  return {
    node,
    route: route.id,
    pool: pool.id,
    tokens,
    rollout: rollouts.view(pool.id),
    candidates,
    first: ranked[0]?.id,
    allocation: context.allocation.view(pool.id, tokens),
  };
}

function readNumber(text: string | undefined): number | undefined {
  const value = text === undefined ? 0 : Number(text);
  return Number.isFinite(value) && value >= 0 ? value : undefined;
}

/** Creates the HTTP handler, for the address of peers. */
export function createExplainApp(node: string, context: ServingContext): Hono {
  const { directory } = context;
  const app = new Hono();
  app.get(EXPLAIN_PATH, (c) => {
    const { host, path, organisation } = c.req.query();
    const promptTokens = readNumber(c.req.query('prompt'));
    const maxOutputTokens = readNumber(c.req.query('output'));
    const expected = c.req.query('hint');
    const expectedOutputTokens = expected === undefined ? maxOutputTokens : readNumber(expected);
    if (
      host === undefined ||
      path === undefined ||
      promptTokens === undefined ||
      maxOutputTokens === undefined ||
      expectedOutputTokens === undefined
    )
      return c.json(
        { error: 'give host and path; prompt, output and hint are numbers of tokens' },
        HTTP_BAD_REQUEST,
      );
    const route = directory.findRoute(host, path);
    if (route === undefined)
      return c.json({ error: `no route for ${host}${path}` }, HTTP_NOT_FOUND);
    const known = directory.tables()?.organisations ?? [];
    if (
      organisation !== undefined &&
      !known.some(({ id }) => id === (organisation as OrganisationId))
    )
      return c.json({ error: `no organisation ${organisation}` }, HTTP_NOT_FOUND);
    const usage = { promptTokens, maxOutputTokens, expectedOutputTokens };
    const explained = route.targets.flatMap(({ pool: id, weight }) => {
      const pool = directory.findPool(id);
      if (pool === undefined) return [];
      return [{ weight, ...explainRoute(node, context, route, pool, usage) }];
    });
    return c.json(explained);
  });
  return app;
}
