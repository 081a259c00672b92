/** Selects the node for each request, as a load balancer with health checks does. */
import type { Dispatcher } from 'undici';
import type { LoadTarget } from './types.js';

const CHECK_INTERVAL_MS = 500;
const CHECK_TIMEOUT_MS = 400;
const HTTP_OK = 200;

export interface Targets {
  /** Returns the next ready target that is not excluded, in round-robin order. */
  next(excluded?: ReadonlySet<LoadTarget>): LoadTarget | undefined;
  /** Marks a target as not ready until its next successful health check. */
  reportUnreachable(target: LoadTarget): void;
  /** Checks the health of all targets once. */
  check(): Promise<void>;
  /** Starts the periodic health checks. */
  start(): void;
  stop(): void;
}

/** Creates the load balancer. Targets without an admin address are always ready. */
export function createTargets(all: readonly LoadTarget[], client: Dispatcher): Targets {
  const notReady = new Set<LoadTarget>();
  let nextIndex = 0;
  let timer: NodeJS.Timeout | undefined;

  const isReady = async (admin: string): Promise<boolean> => {
    try {
      const res = await client.request({
        origin: admin,
        path: '/readyz',
        method: 'GET',
        signal: AbortSignal.timeout(CHECK_TIMEOUT_MS),
      });
      await res.body.dump();
      return res.statusCode === HTTP_OK;
    } catch {
      return false;
    }
  };
  const checkOne = async (target: LoadTarget): Promise<void> => {
    if (target.admin === undefined) return;
    if (await isReady(target.admin)) notReady.delete(target);
    else notReady.add(target);
  };
  const check = async (): Promise<void> => {
    await Promise.all(all.map(checkOne));
  };

  return {
    next: (excluded) => {
      for (let i = 0; i < all.length; i += 1) {
        const target = all[nextIndex % all.length];
        nextIndex += 1;
        if (target === undefined || notReady.has(target) || excluded?.has(target)) continue;
        return target;
      }
      return undefined;
    },
    reportUnreachable: (target) => {
      if (target.admin !== undefined) notReady.add(target);
    },
    check,
    start: () => {
      timer = setInterval(() => {
        void check();
      }, CHECK_INTERVAL_MS);
    },
    stop: () => clearInterval(timer),
  };
}
