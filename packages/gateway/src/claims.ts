/** Idempotency keys, claimed on the platform so that a request runs at most once fleet-wide. */
import { createHash, randomUUID } from 'node:crypto';
import { createError, sleep } from '@hibiscusbank/core';
import type { OrganisationId, RequestId, RouterError } from '@hibiscusbank/core';
import type { ObjectApi, StoredObject } from '@hibiscusbank/object-api';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

export const CLAIM_PREFIX = 'claims/';

/** Tries to write or to read back a claim before the request is refused. */
const MAX_TRIES = 3;
const RETRY_PAUSE_MS = 200;

/** A claim whose request did not run is removed with retries, so that the key stays usable. */
const MAX_REMOVE_TRIES = 120;
const REMOVE_PAUSE_MS = 5_000;

export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
}

export interface ClaimValue {
  readonly requestId: RequestId;
  /** SHA-256 of method, path and body; another request may not use the same key. */
  readonly fingerprint: string;
  /** Wall-clock milliseconds. */
  readonly claimedAtMs: number;
  readonly answer?: StoredAnswer;
  /** Set when the request ended, also when its answer was too large to keep. */
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
   * Claims a key before its request runs. Errors: `conflict` when the key was used before and no
   * answer is kept, `invalid_request` when it was used for another request,
   * `platform_unavailable` when nobody can tell; the request must not run then.
   */
  claim(req: ClaimRequest): Promise<Result<ClaimResult, RouterError>>;
  /** Keeps the answer for repeats; `undefined` when it is too large. */
  finish(claim: Claim, answer: StoredAnswer | undefined): Promise<void>;
  /** Frees the key of a request that certainly did not run. */
  abandon(claim: Claim): Promise<void>;
  stop(): void;
}

function claimKey(req: ClaimRequest): string {
  const owner = req.organisation ?? '';
  const digest = createHash('sha256').update(`${owner}\u0000${req.idempotencyKey}`).digest('hex');
  return `${CLAIM_PREFIX}${digest}`;
}

function answerRepeat(value: ClaimValue, req: ClaimRequest): Result<ClaimResult, RouterError> {
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

/** Creates the claims of a node. */
export function createClaims(objectApi: ObjectApi): Claims {
  const stopping = new AbortController();

  const remove = async (key: string, writeId: string): Promise<void> => {
    for (let tries = 0; tries < MAX_REMOVE_TRIES && !stopping.signal.aborted; tries += 1) {
      const stored = await objectApi.get(key);
      if (stored.isOk()) {
        if (stored.value?.writeId !== writeId) return;
        const removed = await objectApi.remove(key, {
          ifVersion: stored.value.version,
          writeId: randomUUID(),
        });
        if (removed.isOk() || removed.error.kind === 'conflict') return;
      }
      await sleep(REMOVE_PAUSE_MS, stopping.signal);
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
      for (let tries = 0; tries < MAX_TRIES; tries += 1) {
        const written = await objectApi.put(key, value, { ifAbsent: true, writeId });
        if (written.isOk()) return ok({ kind: 'claimed', claim: toClaim(written.value) });
        // A conflict can be this node's own write whose answer was lost: the write id tells.
        const stored = await objectApi.get(key);
        if (stored.isOk() && stored.value !== undefined) {
          if (stored.value.writeId === writeId) {
            return ok({ kind: 'claimed', claim: toClaim(stored.value) });
          }
          return answerRepeat(stored.value.value as ClaimValue, req);
        }
        lastError = written.error;
        await sleep(RETRY_PAUSE_MS, stopping.signal);
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
      for (let tries = 0; tries < MAX_TRIES && !stopping.signal.aborted; tries += 1) {
        const written = await objectApi.put(claim.key, value, {
          ifVersion: claim.version,
          writeId: randomUUID(),
        });
        if (written.isOk() || written.error.kind === 'conflict') return;
        await sleep(RETRY_PAUSE_MS, stopping.signal);
      }
    },
    abandon: async (claim) => {
      const removed = await objectApi.remove(claim.key, {
        ifVersion: claim.version,
        writeId: randomUUID(),
      });
      if (removed.isOk()) return;
      const stored = await objectApi.get(claim.key);
      if (stored.isOk() && stored.value !== undefined)
        await remove(claim.key, stored.value.writeId);
    },
    stop: () => stopping.abort(),
  };
}

/** Fingerprint of a request, by which a reused key is recognised. */
export function fingerprintRequest(method: string, path: string, body: Buffer): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');
}
