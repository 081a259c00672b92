/** Deletes claims of idempotency keys after their retention period. */
import { randomUUID } from 'node:crypto';
import { repeatUntilAborted, sleep } from '@hibiscusbank/core';
import type { ObjectApi, StoredObject } from '@hibiscusbank/object-api';
import { CLAIM_PREFIX } from './claims.js';
import type { ClaimValue } from './claims.js';

/** A request that is repeated after this time may run again. */
export const CLAIM_RETENTION_MS = 24 * 3_600_000;

const SWEEP_INTERVAL_MS = 3_600_000;
/** Limits the deletions to a small share of the platform's writes. */
const DELETION_INTERVAL_MS = 200;

export interface ClaimExpiryOptions {
  readonly objectApi: ObjectApi;
  /** Returns whether this VM runs the sweeps; concurrent sweeps of two VMs are harmless. */
  readonly isSweeper: () => boolean;
}

/** Starts the periodic sweeps; the returned function stops them. */
export function startClaimExpiry(options: ClaimExpiryOptions): () => void {
  const stopController = new AbortController();

  const remove = async (claim: StoredObject): Promise<void> => {
    await options.objectApi.remove(claim.key, {
      ifVersion: claim.version,
      writeId: randomUUID(),
    });
    await sleep(DELETION_INTERVAL_MS, stopController.signal);
  };

  const sweep = async (): Promise<void> => {
    if (!options.isSweeper()) return;
    const list = await options.objectApi.list(CLAIM_PREFIX);
    if (list.isErr()) return;
    const cutoffMs = Date.now() - CLAIM_RETENTION_MS;
    for (const claim of list.value.objects) {
      if (stopController.signal.aborted) return;
      if ((claim.value as ClaimValue).claimedAtMs < cutoffMs) await remove(claim);
    }
  };

  void repeatUntilAborted(stopController.signal, () => SWEEP_INTERVAL_MS, sweep);
  return () => stopController.abort();
}
