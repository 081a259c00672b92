/**
 * Binds streams to the software version that began them. What two versions write does not fit together,
 * and engines do not check it.
 */
import { createError } from '@hibiscusbank/core';
import type { PoolId, RouterError, UpstreamId } from '@hibiscusbank/core';
import type { ServingContext } from './context.js';
import type { KnownUpstream } from './directory.js';
import type { UpstreamVersion } from './rollouts/index.js';

type EngineContext = Pick<ServingContext, 'directory' | 'rollouts'>;

/** Returns the upstreams of a version that may get requests now, whatever share new ones get. */
export function listOfVersion(
  { directory, rollouts }: EngineContext,
  pool: PoolId,
  version: UpstreamVersion,
): readonly KnownUpstream[] {
  return directory
    .usable(pool)
    .filter((upstream) => upstream.version === version && rollouts.mayServe(upstream));
}

/** Whether a decode engine of a version serves, other than the `failed` ones. */
export function hasDecodeEngine(
  context: EngineContext & Pick<ServingContext, 'unavailable'>,
  pool: PoolId,
  version: UpstreamVersion,
  failed: ReadonlySet<UpstreamId>,
): boolean {
  return listOfVersion(context, pool, version).some(
    (upstream) =>
      upstream.role === 'decode' &&
      !failed.has(upstream.id) &&
      context.unavailable.find(upstream) !== 'leaving',
  );
}

/** Whether usable upstreams of a pool have another version. */
export function hasOtherVersions(
  { directory }: EngineContext,
  pool: PoolId,
  version: UpstreamVersion,
): boolean {
  return directory.usable(pool).some((upstream) => upstream.version !== version);
}

/** Returns the error for a stream that no engine of its version can continue. */
export function describeVersionGone(version: UpstreamVersion): RouterError {
  return createError(
    'no_capacity',
    `no engine of version ${version}, which began the stream, serves; begin a new stream`,
    { effect: 'not_run' },
  );
}
