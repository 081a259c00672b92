/** Ejects a failing upstream for a growing time, then admits single requests as probes. */
const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 30_000;
/** A single failure may be caused by the request. */
const FAILURES_TO_EJECT = 2;

export type FailureState = 'healthy' | 'ejected' | 'probing';

export interface FailureBackoff {
  /** `probing`: the backoff has ended, and one request at a time may probe the upstream. */
  state(now: number): FailureState;
  recordSuccess(): void;
  recordFailure(now: number): void;
}

/** Creates the backoff of one upstream. */
export function createFailureBackoff(): FailureBackoff {
  let failures = 0;
  let ejectedUntil = 0;
  return {
    state: (now) => {
      if (failures < FAILURES_TO_EJECT) return 'healthy';
      return now < ejectedUntil ? 'ejected' : 'probing';
    },
    recordSuccess: () => {
      failures = 0;
    },
    recordFailure: (now) => {
      failures += 1;
      if (failures < FAILURES_TO_EJECT || now < ejectedUntil) return;
      const exponent = Math.min(failures - FAILURES_TO_EJECT, 10);
      ejectedUntil = now + Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** exponent);
    },
  };
}
