/** Deletes idempotency claims that are older than their time of validity. */
import { randomUUID } from 'node:crypto';
import { repeatUntilAborted, sleep } from '@hibiscusbank/core';
import type { ObjectApi, StoredObject } from '@hibiscusbank/object-api';
import { CLAIM_PREFIX } from './claims.js';
import type { ClaimValue } from './claims.js';

/** A repeat after this time can run again. */
export const CLAIM_VALIDITY_MS = 24 * 3_600_000;

const SWEEP_INTERVAL_MS = 3_600_000;
/** Keeps the deletions to a small share of the platform's writes. */
const PAUSE_BETWEEN_DELETIONS_MS = 200;

export interface JanitorOptions {
  readonly objectApi: ObjectApi;
  /** Whether this VM is the one that sweeps; two of them do no harm. */
  readonly isSweeper: () => boolean;
}

/** Starts the sweeps; the returned function stops them. */
export function startClaimsJanitor(options: JanitorOptions): () => void {
  const stopping = new AbortController();

  const remove = async (claim: StoredObject): Promise<void> => {
    await options.objectApi.remove(claim.key, {
      ifVersion: claim.version,
      writeId: randomUUID(),
    });
    await sleep(PAUSE_BETWEEN_DELETIONS_MS, stopping.signal);
  };

  const sweep = async (): Promise<void> => {
    if (!options.isSweeper()) return;
    const list = await options.objectApi.list(CLAIM_PREFIX);
    if (list.isErr()) return;
    const oldest = Date.now() - CLAIM_VALIDITY_MS;
    for (const claim of list.value.objects) {
      if (stopping.signal.aborted) return;
      if ((claim.value as ClaimValue).claimedAtMs < oldest) await remove(claim);
    }
  };

  void repeatUntilAborted(stopping.signal, () => SWEEP_INTERVAL_MS, sweep);
  return () => stopping.abort();
}
