/** Values whose changes become visible to readers after a lag. */

export interface LaggedValue<T> {
  /** Sets the value, which `read` returns once the lag has passed. */
  set(value: T): void;
  /** Returns the newest value whose lag has passed. */
  read(): T;
  /** Returns the newest value, whether or not its lag has passed. */
  latest(): T;
}

interface Entry<T> {
  readonly value: T;
  readonly visibleAtMs: number;
}

/** Creates a value with a lag in ms. The initial value is visible at once. */
export function createLaggedValue<T>(initial: T, lagMs: () => number): LaggedValue<T> {
  const entries: Entry<T>[] = [{ value: initial, visibleAtMs: -Infinity }];
  const prune = (): void => {
    const now = performance.now();
    while (entries[1] !== undefined && entries[1].visibleAtMs <= now) entries.shift();
  };
  return {
    set: (value) => {
      prune();
      entries.push({ value, visibleAtMs: performance.now() + lagMs() });
      prune();
    },
    read: () => {
      prune();
      return (entries[0] as Entry<T>).value;
    },
    latest: () => (entries.at(-1) as Entry<T>).value,
  };
}
