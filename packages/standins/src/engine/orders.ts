/** Orders to an engine: models and role, guarded by fencing tokens. */
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
  /** False when the fencing token is stale and checked. */
  apply(order: Order): boolean;
  role(): EngineRole;
  /** Loaded models as `model[@version][+adapter]`. */
  models(): string[];
  /** Whether a request for a model can run. */
  serves(model: string | undefined): boolean;
  /** Accepted orders in their order of arrival. */
  history(): readonly Order[];
  stale(): number;
  loading(): number;
  stop(): void;
}

/** Reserves a turn at the weight store; resolves to the ms to wait. */
export type ReserveWeights = (model: string, version: string) => Promise<number>;

const WEIGHT_STORE_RETRY_MS = 1_000;

function nameModel(order: Order): string {
  const version = order.version === undefined ? '' : `@${order.version}`;
  const adapter = order.adapter === undefined ? '' : `+${order.adapter}`;
  return `${order.model ?? ''}${version}${adapter}`;
}

function isModel(loaded: string, model: string): boolean {
  return loaded === model || loaded.startsWith(`${model}@`) || loaded.startsWith(`${model}+`);
}

/** Creates the state with the models and the role of the options. */
export function createOrders(
  options: EngineOptions,
  reserve: ReserveWeights,
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

  const after = (ms: number, run: () => void): void => {
    const timer = setTimeout(() => {
      timers.delete(timer);
      run();
    }, ms);
    timers.add(timer);
  };
  const load = (order: Order): void => {
    const retry = (): void => after(WEIGHT_STORE_RETRY_MS, () => load(order));
    const start = (waitMs: number): void =>
      after(waitMs + options.modelLoadMs, () => {
        loading -= 1;
        loaded.add(nameModel(order));
        onChange();
      });
    reserve(order.model ?? '', order.version ?? '').then(start, retry);
  };
  const run = (order: Order): void => {
    if (order.kind === 'role') role = order.role ?? role;
    if (order.kind === 'unload') loaded.delete(nameModel(order));
    if (order.kind === 'load' && !loaded.has(nameModel(order))) {
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
      model === undefined || servesAny || [...loaded].some((name) => isModel(name, model)),
    history: () => history,
    stale: () => stale,
    loading: () => loading,
    stop: () => {
      for (const timer of timers) clearTimeout(timer);
    },
  };
}
