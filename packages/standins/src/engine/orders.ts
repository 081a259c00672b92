/** Orders that change an engine's models or role. The epoch of an order is its fencing token. */
import type { EngineOptions, EngineRole } from './types.js';

export interface Order {
  readonly epoch: number;
  readonly kind: 'load' | 'unload' | 'role';
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string;
  readonly role?: EngineRole;
}

export interface Orders {
  /**
   * Carries out an order; returns false if its epoch is stale and the engine checks fencing tokens.
   */
  apply(order: Order): boolean;
  role(): EngineRole;
  /** Returns the loaded models as `model[@version][+adapter]`. */
  models(): string[];
  /** Returns whether a request for a model can run. */
  serves(model: string | undefined): boolean;
  /** Returns the accepted orders, oldest first. */
  history(): readonly Order[];
  /** Returns the number of orders that arrived with a stale epoch, accepted or not. */
  stale(): number;
  /** Returns the number of models that are being loaded. */
  loading(): number;
  stop(): void;
}

/** Reserves the start of a model load at the weight store. Resolves to the wait until it, in ms. */
export type ReserveWeights = (model: string, version: string) => Promise<number>;

const WEIGHT_STORE_RETRY_MS = 1_000;

function formatModelName(order: Order): string {
  const version = order.version === undefined ? '' : `@${order.version}`;
  const adapter = order.adapter === undefined ? '' : `+${order.adapter}`;
  return `${order.model ?? ''}${version}${adapter}`;
}

function matchesModel(loaded: string, model: string): boolean {
  return loaded === model || loaded.startsWith(`${model}@`) || loaded.startsWith(`${model}+`);
}

/** Creates the order state of an engine; `options` gives its initial models and role. */
export function createOrders(
  options: EngineOptions,
  reserveWeights: ReserveWeights,
  onChange: () => void,
): Orders {
  const loaded = new Set(options.models);
  const timers = new Set<NodeJS.Timeout>();
  const history: Order[] = [];
  const servesAny = options.models.length === 0;
  let { role } = options;
  let highestEpoch = 0;
  let stale = 0;
  let loading = 0;

  const runAfter = (ms: number, execute: () => void): void => {
    const timer = setTimeout(() => {
      timers.delete(timer);
      execute();
    }, ms);
    timers.add(timer);
  };
  const load = (order: Order): void => {
    const retry = (): void => runAfter(WEIGHT_STORE_RETRY_MS, () => load(order));
    const start = (waitMs: number): void =>
      runAfter(waitMs + options.modelLoadMs, () => {
        loading -= 1;
        loaded.add(formatModelName(order));
        onChange();
      });
    reserveWeights(order.model ?? '', order.version ?? '').then(start, retry);
  };
  const run = (order: Order): void => {
    if (order.kind === 'role') role = order.role ?? role;
    if (order.kind === 'unload') loaded.delete(formatModelName(order));
    if (order.kind === 'load' && !loaded.has(formatModelName(order))) {
      loading += 1;
      load(order);
    }
    onChange();
  };

  return {
    apply: (order) => {
      if (order.epoch < highestEpoch) {
        stale += 1;
        if (options.checksFencing) return false;
      }
      highestEpoch = Math.max(highestEpoch, order.epoch);
      history.push(order);
      run(order);
      return true;
    },
    role: () => role,
    models: () => [...loaded],
    serves: (model) =>
      model === undefined || servesAny || [...loaded].some((name) => matchesModel(name, model)),
    history: () => history,
    stale: () => stale,
    loading: () => loading,
    stop: () => {
      for (const timer of timers) clearTimeout(timer);
    },
  };
}
