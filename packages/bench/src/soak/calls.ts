/** Performs calls of a node to a back end under the simulated network faults. */
import { createError } from '@hibiscusbank/core';
import type { DataCentreId, RouterError } from '@hibiscusbank/core';
import { err, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { NetworkFaults } from './network-faults.js';
import { runOutsideProcesses } from './process.js';
import type { EmulatedProcess } from './process.js';

export interface BackEndAccess {
  readonly faults: NetworkFaults;
  readonly dataCentre: DataCentreId;
  readonly nodeProcess: EmulatedProcess;
}

export interface BackEndLocation {
  readonly dataCentre: DataCentreId;
}

const CONNECT_TIMEOUT_MS = 1_000;

export const createCancelledError = (): RouterError =>
  createError('cancelled', 'the call was cancelled', { effect: 'unknown' });

const createConnectionError = (effect: 'not_run' | 'unknown'): RouterError =>
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

/**
 * Performs a call. `perform` runs outside of the process of the node, so that its timers go on while the
 * node is paused or killed; the result reaches the node only while its process runs.
 */
export function callBackEnd<T>(
  access: BackEndAccess,
  location: BackEndLocation | undefined,
  signal: AbortSignal | undefined,
  perform: () => Promise<Result<T, RouterError>>,
): ResultAsync<T, RouterError> {
  const { faults, dataCentre, nodeProcess } = access;
  const isPartitioned = (): boolean =>
    location === undefined || faults.isPartitioned(dataCentre, location.dataCentre);
  const exchange = async (): Promise<Result<T, RouterError>> => {
    if (signal?.aborted) {
      return err(createError('cancelled', 'the call was cancelled', { effect: 'not_run' }));
    }
    if (isPartitioned()) {
      await raceAbort(wait(CONNECT_TIMEOUT_MS), signal);
      return err(createConnectionError('not_run'));
    }
    const result = await raceAbort(perform(), signal);
    if (result === undefined) return err(createCancelledError());
    return isPartitioned() ? err(createConnectionError('unknown')) : result;
  };
  const run = async (): Promise<Result<T, RouterError>> => {
    await nodeProcess.whenRunning();
    const result = await runOutsideProcesses(exchange);
    await nodeProcess.whenRunning();
    return result;
  };
  return new ResultAsync(run());
}
