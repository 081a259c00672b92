/** Binds streams that callers resume to the software version that began them. */
import { createError } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { organisationOf } from './context.js';
import type { AdmittedRequest, ServingContext } from './context.js';
import type { UpstreamVersion } from './rollouts/index.js';

/** Returns the error for a resumed stream that might go on at a wrong version. */
function describeUnknownOrigin(firstAttempt: string | undefined): RouterError {
  const remedy =
    firstAttempt === undefined
      ? 'name the attempt that began the stream, or begin a new one'
      : 'begin a new stream';
  return createError(
    'no_capacity',
    `several versions serve, and it is not known which one began the stream; ${remedy}`,
    { effect: 'not_run' },
  );
}

/**
 * Returns the version at which a stream that a caller resumes has to go on; \`undefined\` for a new stream.
 * Errors: \`no_capacity\` (not run), if the version is not known and there are several.
 */
export async function bindResumed(
  context: ServingContext,
  admitted: AdmittedRequest,
): Promise<Result<UpstreamVersion | undefined, RouterError>> {
  const { streamOrigins, telemetry } = context;
  const { req, route, pool, signal } = admitted;
  if (req.lastEventId === undefined || !route.isResumable) return ok(undefined);
  const { firstAttempt } = req;
  const organisation = organisationOf(admitted);
  const origin = await streamOrigins.find({ pool: pool.id, organisation, firstAttempt }, signal);
  if (origin.kind === 'unknown') {
    const { reason, versions } = origin;
    telemetry.log('streamOriginUnknown', {
      request: req.id,
      resumes: firstAttempt,
      reason,
      versions: versions.join(' '),
    });
    return err(describeUnknownOrigin(firstAttempt));
  }
  if (origin.kind === 'no_versions') return ok(undefined);
  const { version, source, ageMs } = origin;
  telemetry.log('streamOriginKnown', {
    request: req.id,
    resumes: firstAttempt,
    version,
    source,
    ageMs,
  });
  return ok(version);
}

/** Records the version of the engine that brings the first event of an answer. */
export function recordOrigin(
  { streamOrigins }: ServingContext,
  admitted: AdmittedRequest,
  version: UpstreamVersion,
): void {
  const { req, route, pool } = admitted;
  const firstAttempt = req.lastEventId === undefined ? req.id : req.firstAttempt;
  if (!route.isResumable || firstAttempt === undefined) return;
  const organisation = organisationOf(admitted);
  streamOrigins.recordBegun({ pool: pool.id, organisation, firstAttempt }, version);
}
