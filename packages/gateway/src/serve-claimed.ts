/** Runs a request under its idempotency key. */
import type { ServerResponse } from 'node:http';
import type { RouterError } from '@hibiscusbank/core';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { FinalFailure } from './attempts.js';
import type { ClaimRequest, Claims, StoredAnswer } from './claims.js';
import { OUTCOME_HEADER } from './error-response.js';

/** How a request under a claim ended. */
export interface ClaimedEnd {
  readonly failure: FinalFailure | undefined;
  readonly answer: StoredAnswer | undefined;
}

/** Header that marks an answer which was kept from an earlier run. */
const REPLAYED_HEADER = 'x-hibiscusbank-replayed';

function replay(res: ServerResponse, answer: StoredAnswer): void {
  res.writeHead(answer.status, {
    ...answer.headers,
    [OUTCOME_HEADER]: 'answered',
    [REPLAYED_HEADER]: 'true',
  });
  res.end(Buffer.from(answer.bodyBase64, 'base64'));
}

/**
 * Claims the key, runs the request, and keeps its answer; a repeat gets the kept answer. The error
 * is the caller's to send; nothing ran in that case unless its effect says otherwise.
 */
export async function serveClaimed(
  claims: Claims,
  req: ClaimRequest,
  res: ServerResponse,
  run: () => Promise<ClaimedEnd>,
): Promise<Result<void, RouterError>> {
  const claimed = await claims.claim(req);
  if (claimed.isErr()) return err(claimed.error);
  const result = claimed.value;
  if (result.kind === 'repeat') {
    replay(res, result.answer);
    return ok(undefined);
  }
  const end = await run();
  const didNotRun = end.failure?.effect === 'not_run';
  if (didNotRun) void claims.abandon(result.claim);
  else await claims.finish(result.claim, end.answer);
  return ok(undefined);
}
