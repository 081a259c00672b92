/** Picks the node for each request, as a balancer with health checks does. */
import type { Dispatcher } from 'undici';
import type { LoadTarget } from './types.js';

const CHECK_INTERVAL_MS = 500;
const CHECK_TIMEOUT_MS = 400;
const HTTP_OK = 200;

export interface Targets {
  /** The next ready target in turn that is not among `tried`. */
  next(tried?: ReadonlySet<LoadTarget>): LoadTarget | undefined;
  /** Skips a target without an answer until the next health check. */
  reportUnreachable(target: LoadTarget): void;
  /** Checks all targets once. */
  check(): Promise<void>;
  start(): void;
  stop(): void;
}

/** Creates the balancer. Targets without an admin address are always ready. */
export function createTargets(all: readonly LoadTarget[], client: Dispatcher): Targets {
  const down = new Set<LoadTarget>();
  let turn = 0;
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
    if (await isReady(target.admin)) down.delete(target);
    else down.add(target);
  };
  const check = async (): Promise<void> => {
    await Promise.all(all.map(checkOne));
  };

  return {
    next: (tried) => {
      for (let i = 0; i < all.length; i += 1) {
        const target = all[turn % all.length];
        turn += 1;
        if (target === undefined || down.has(target) || tried?.has(target)) continue;
        return target;
      }
      return undefined;
    },
    reportUnreachable: (target) => {
      if (target.admin !== undefined) down.add(target);
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
