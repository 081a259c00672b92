/** Serves a request with an idempotency key, which runs at most once. */
import type { ServerResponse } from 'node:http';
import type { RouterError } from '@hibiscusbank/core';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { FinalFailure } from './attempts.js';
import type { ClaimRequest, Claims, StoredAnswer } from './claims.js';
import { OUTCOME_HEADER } from './error-response.js';

/** Failure of a request that ran under a claim, or the answer to store. */
export interface ClaimedRequestResult {
  readonly failure: FinalFailure | undefined;
  readonly answer: StoredAnswer | undefined;
}

/** Header that marks a stored answer of an earlier run. */
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
 * Claims the key, runs the request and stores its answer; a repeated request gets the stored answer.
 * If the key cannot be claimed, returns the error without running the request or sending the error.
 * The effect of the error is `unknown` if an earlier request with the key ran or may be running.
 */
export async function serveClaimed(
  claims: Claims,
  req: ClaimRequest,
  res: ServerResponse,
  run: () => Promise<ClaimedRequestResult>,
): Promise<Result<void, RouterError>> {
  const claimed = await claims.claim(req);
  if (claimed.isErr()) return err(claimed.error);
  const result = claimed.value;
  if (result.kind === 'repeat') {
    replay(res, result.answer);
    return ok(undefined);
  }
  const runResult = await run();
  const didNotRun = runResult.failure?.effect === 'not_run';
  if (didNotRun) void claims.release(result.claim);
  else await claims.finish(result.claim, runResult.answer);
  return ok(undefined);
}
