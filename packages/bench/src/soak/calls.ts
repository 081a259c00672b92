/** Carries a call of a node to a back end and its answer back, under the faults of the network. */
import { createError } from '@hibiscusbank/core';
import type { DataCentreId, RouterError } from '@hibiscusbank/core';
import { err, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { NetworkFaults } from './network-faults.js';
import { runOutside } from './process.js';
import type { EmulatedProcess } from './process.js';

export interface BackEndAccess {
  readonly faults: NetworkFaults;
  readonly dataCentre: DataCentreId;
  readonly owner: EmulatedProcess;
}

export interface BackEndPlace {
  readonly dataCentre: DataCentreId;
}

const CONNECT_TIMEOUT_MS = 1_000;

export const cancelledCall = (): RouterError =>
  createError('cancelled', 'the call was cancelled', { effect: 'unknown' });

const brokenCall = (effect: 'not_run' | 'unknown'): RouterError =>
  createError('upstream_failed', 'no answer; check the upstream', { effect });

/** Resolves to `undefined` when the signal aborts first. */
function raceAbort<T>(
  pending: Promise<T>,
  signal: AbortSignal | undefined,
): Promise<T | undefined> {
  if (signal === undefined) return pending;
  return new Promise((resolve, reject) => {
    const onAbort = (): void => resolve(undefined);
    if (signal.aborted) onAbort();
    signal.addEventListener('abort', onAbort);
    pending.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort));
  });
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Performs a call; `perform` runs outside of the node's process. */
export function callBackEnd<T>(
  access: BackEndAccess,
  place: BackEndPlace | undefined,
  signal: AbortSignal | undefined,
  perform: () => Promise<Result<T, RouterError>>,
): ResultAsync<T, RouterError> {
  const { faults, dataCentre, owner } = access;
  const isCut = (): boolean => place === undefined || faults.isCut(dataCentre, place.dataCentre);
  const exchange = async (): Promise<Result<T, RouterError>> => {
    if (signal?.aborted) {
      return err(createError('cancelled', 'the call was cancelled', { effect: 'not_run' }));
    }
    if (isCut()) {
      await raceAbort(wait(CONNECT_TIMEOUT_MS), signal);
      return err(brokenCall('not_run'));
    }
    const result = await raceAbort(perform(), signal);
    if (result === undefined) return err(cancelledCall());
    return isCut() ? err(brokenCall('unknown')) : result;
  };
  const run = async (): Promise<Result<T, RouterError>> => {
    await owner.whenRunning();
    const result = await runOutside(exchange);
    await owner.whenRunning();
    return result;
  };
  return new ResultAsync(run());
}
