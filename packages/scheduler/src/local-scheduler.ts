/** Thin scheduler: first free slot, decided on each node alone. */
import { createError, cellId, grantId } from '@hibiscusbank/core';
import type { RouterError, Telemetry, UpstreamId, VmId } from '@hibiscusbank/core';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { PoolEntry, UpstreamEntry } from '@hibiscusbank/settings';
import { err, errAsync, ok, okAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Grant, GrantTarget, PlacementRequest, Scheduler } from './types.js';

const RETRY_AFTER_MS = 1_000;

/** Creates a scheduler that counts only this node's own requests. */
export function createLocalScheduler(
  self: VmId,
  configuration: ConfigurationReplica,
  telemetry: Telemetry,
): Scheduler {
  const inUse = new Map<UpstreamId, number>();
  let nextGrant = 1;

  const count = (upstream: UpstreamId, change: number): void => {
    inUse.set(upstream, (inUse.get(upstream) ?? 0) + change);
  };

  const pick = (
    pool: PoolEntry,
    req: PlacementRequest,
    roles: readonly string[],
  ): Result<UpstreamEntry, RouterError> => {
    const candidates = pool.upstreams
      .filter((u) => roles.includes(u.role) && !req.exclude.includes(u.id))
      .filter((u) => !configuration.isUpstreamOut(u.id, u.dataCentre))
      .filter((u) => (inUse.get(u.id) ?? 0) < u.capacity)
      .sort((a, b) => (inUse.get(a.id) ?? 0) - (inUse.get(b.id) ?? 0));
    const [best] = candidates;
    if (best !== undefined) return ok(best);
    return err(
      createError('no_capacity', `pool ${pool.id} is full; retry later or add upstreams`, {
        retryAfterMs: RETRY_AFTER_MS,
        effect: 'not_run',
      }),
    );
  };

  const chooseTarget = (
    pool: PoolEntry,
    req: PlacementRequest,
  ): Result<[GrantTarget, UpstreamEntry], RouterError> => {
    if (pool.kind === 'plain') {
      return pick(pool, req, ['plain']).map((u) => [
        { kind: 'plain', server: { upstream: u.id, address: u.address } },
        u,
      ]);
    }
    return pick(pool, req, ['prefill', 'both']).andThen((prefill) =>
      pick(pool, req, ['decode', 'both']).map((decode): [GrantTarget, UpstreamEntry] => [
        {
          kind: 'model',
          prefill: { upstream: prefill.id, address: prefill.address },
          decode: { upstream: decode.id, address: decode.address },
          prefillMs: req.promptTokens / pool.prefillTokensPerMs,
          transferMs: (req.promptTokens * pool.kvBytesPerToken) / decode.linkBytesPerMs,
        },
        decode,
      ]),
    );
  };

  const createGrant = (
    req: PlacementRequest,
    target: GrantTarget,
    upstream: UpstreamEntry,
  ): Grant => {
    const id = grantId(`${self}-${nextGrant}`);
    nextGrant += 1;
    count(upstream.id, 1);
    telemetry.log('placementGranted', { request: req.requestId, upstream: upstream.id, grant: id });
    return {
      id,
      cell: cellId(`${req.pool}/${upstream.dataCentre}/0`),
      epoch: 0,
      owner: self,
      pool: req.pool,
      dataCentre: upstream.dataCentre,
      requestId: req.requestId,
      attempt: req.attempt,
      target,
    };
  };

  return {
    place: (req) => {
      const pool = configuration.pools().get(req.pool);
      if (pool === undefined) {
        return errAsync(createError('not_found', `pool ${req.pool} is not configured`));
      }
      return chooseTarget(pool, req).match(
        ([target, upstream]) => okAsync(createGrant(req, target, upstream)),
        (error) => errAsync(error),
      );
    },
    finishPrefill: () => {},
    release: (grant) => {
      const { target } = grant;
      count(target.kind === 'plain' ? target.server.upstream : target.decode.upstream, -1);
    },
    adopt: async () => undefined,
    ownedCells: () => [],
    explain: () => [],
    start: async () => {},
    leave: async () => {},
    stop: async () => {},
  };
}
