/**
 * Claims of idempotency keys, stored through the platform's object API so that a request runs at
 * most once across all nodes.
 */
import { createHash, randomUUID } from 'node:crypto';
import { createError, sleep } from '@hibiscusbank/core';
import type { OrganisationId, RequestId, RouterError } from '@hibiscusbank/core';
import type { ObjectApi, StoredObject } from '@hibiscusbank/object-api';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

export const CLAIM_PREFIX = 'claims/';

/** Attempts to write a claim or its answer. A request whose claim cannot be written is refused. */
const MAX_WRITE_ATTEMPTS = 3;
const WRITE_RETRY_INTERVAL_MS = 200;

/** A claim whose request did not run is removed with retries, so that its key stays usable. */
const MAX_REMOVE_ATTEMPTS = 120;
const REMOVE_RETRY_INTERVAL_MS = 5_000;

export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
}

export interface ClaimValue {
  readonly requestId: RequestId;
  /** SHA-256 of method, path and body, which detects reuse of the key for another request. */
  readonly fingerprint: string;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly claimedAtMs: number;
  readonly answer?: StoredAnswer;
  /** Set when the request has ended, also if its answer was too large to store. */
  readonly finished?: boolean;
}

export interface ClaimRequest {
  readonly organisation: OrganisationId | undefined;
  readonly idempotencyKey: string;
  readonly requestId: RequestId;
  readonly fingerprint: string;
}

export interface Claim {
  readonly key: string;
  readonly version: number;
  readonly value: ClaimValue;
}

export type ClaimResult =
  | { readonly kind: 'claimed'; readonly claim: Claim }
  | { readonly kind: 'repeat'; readonly answer: StoredAnswer };

export interface Claims {
  /**
   * Claims a key before its request runs. The request must not run after an error. Errors:
   * `conflict` if the key was used before and no answer is stored, `invalid_request` if it was used
   * for another request, `platform_unavailable` if the state of the key cannot be determined.
   */
  claim(req: ClaimRequest): Promise<Result<ClaimResult, RouterError>>;
  /**
   * Marks the request as finished and stores its answer for repeats; `undefined` if the answer is
   * not stored, for example because it is too large.
   */
  finish(claim: Claim, answer: StoredAnswer | undefined): Promise<void>;
  /** Removes the claim of a request that certainly did not run, so that its key stays usable. */
  release(claim: Claim): Promise<void>;
  stop(): void;
}

function claimKey(req: ClaimRequest): string {
  const organisation = req.organisation ?? '';
  const digest = createHash('sha256')
    .update(`${organisation}\u0000${req.idempotencyKey}`)
    .digest('hex');
  return `${CLAIM_PREFIX}${digest}`;
}

function resolveExistingClaim(
  value: ClaimValue,
  req: ClaimRequest,
): Result<ClaimResult, RouterError> {
  if (value.fingerprint !== req.fingerprint) {
    return err(
      createError(
        'invalid_request',
        'the Idempotency-Key was used for another request; use a new key',
        {
          effect: 'not_run',
        },
      ),
    );
  }
  if (value.answer !== undefined) return ok({ kind: 'repeat', answer: value.answer });
  const state = value.finished ? 'has run and its answer was not kept' : 'may still be running';
  return err(
    createError('conflict', `the request with this Idempotency-Key ${state}; look up its result`, {
      effect: 'unknown',
    }),
  );
}

/** Creates the interface through which a node claims idempotency keys. */
export function createClaims(objectApi: ObjectApi): Claims {
  const stopController = new AbortController();

  const remove = async (key: string, writeId: string): Promise<void> => {
    for (
      let attempt = 0;
      attempt < MAX_REMOVE_ATTEMPTS && !stopController.signal.aborted;
      attempt += 1
    ) {
      const stored = await objectApi.get(key);
      if (stored.isOk()) {
        if (stored.value?.writeId !== writeId) return;
        const removed = await objectApi.remove(key, {
          ifVersion: stored.value.version,
          writeId: randomUUID(),
        });
        if (removed.isOk() || removed.error.kind === 'conflict') return;
      }
      await sleep(REMOVE_RETRY_INTERVAL_MS, stopController.signal);
    }
  };

  const toClaim = (stored: StoredObject): Claim => ({
    key: stored.key,
    version: stored.version,
    value: stored.value as ClaimValue,
  });

  return {
    claim: async (req) => {
      const key = claimKey(req);
      const writeId = `claim-${randomUUID()}`;
      const value: ClaimValue = {
        requestId: req.requestId,
        fingerprint: req.fingerprint,
        claimedAtMs: Date.now(),
      };
      let lastError = createError('platform_unavailable', 'the platform did not answer');
      for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
        const written = await objectApi.put(key, value, { ifAbsent: true, writeId });
        if (written.isOk()) return ok({ kind: 'claimed', claim: toClaim(written.value) });
        // A conflict may come from this node's own write if its response was lost; the write id
        // identifies that write.
        const stored = await objectApi.get(key);
        if (stored.isOk() && stored.value !== undefined) {
          if (stored.value.writeId === writeId) {
            return ok({ kind: 'claimed', claim: toClaim(stored.value) });
          }
          return resolveExistingClaim(stored.value.value as ClaimValue, req);
        }
        lastError = written.error;
        await sleep(WRITE_RETRY_INTERVAL_MS, stopController.signal);
      }
      void remove(key, writeId);
      return err(
        createError(
          'platform_unavailable',
          'the Idempotency-Key cannot be claimed while the platform is down; retry later',
          { cause: lastError, effect: 'not_run' },
        ),
      );
    },
    finish: async (claim, answer) => {
      const value: ClaimValue = {
        ...claim.value,
        finished: true,
        ...(answer === undefined ? {} : { answer }),
      };
      for (
        let attempt = 0;
        attempt < MAX_WRITE_ATTEMPTS && !stopController.signal.aborted;
        attempt += 1
      ) {
        const written = await objectApi.put(claim.key, value, {
          ifVersion: claim.version,
          writeId: randomUUID(),
        });
        if (written.isOk() || written.error.kind === 'conflict') return;
        await sleep(WRITE_RETRY_INTERVAL_MS, stopController.signal);
      }
    },
    release: async (claim) => {
      const removed = await objectApi.remove(claim.key, {
        ifVersion: claim.version,
        writeId: randomUUID(),
      });
      if (removed.isOk()) return;
      const stored = await objectApi.get(claim.key);
      if (stored.isOk() && stored.value !== undefined)
        await remove(claim.key, stored.value.writeId);
    },
    stop: () => stopController.abort(),
  };
}

/** Returns the fingerprint of a request, which detects reuse of a key for another request. */
export function fingerprintRequest(method: string, path: string, body: Buffer): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');
}
