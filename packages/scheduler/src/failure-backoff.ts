/** Keeps requests away from an upstream that fails, with single requests as probes. */
const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 30_000;
/** One failure may be due to the request. */
const FAILURES_TO_EJECT = 2;

export type FailureState = 'healthy' | 'ejected' | 'probing';

export interface FailureBackoff {
  /** `probing`: the backoff is over and one request at a time may test the upstream. */
  state(now: number): FailureState;
  recordSuccess(): void;
  recordFailure(now: number): void;
}

/** Creates the backoff of one upstream. */
export function createFailureBackoff(): FailureBackoff {
  let failures = 0;
  let until = 0;
  return {
    state: (now) => {
      if (failures < FAILURES_TO_EJECT) return 'healthy';
      return now < until ? 'ejected' : 'probing';
    },
    recordSuccess: () => {
      failures = 0;
    },
    recordFailure: (now) => {
      failures += 1;
      if (failures < FAILURES_TO_EJECT || now < until) return;
      const exponent = Math.min(failures - FAILURES_TO_EJECT, 10);
      until = now + Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** exponent);
    },
  };
}
