/** Values that become visible some time after they were set. */

export interface Lagged<T> {
  /** Sets the value; readers see it after the lag. */
  set(value: T): void;
  /** The newest value whose lag has passed. */
  read(): T;
  /** The newest value, visible or not. */
  latest(): T;
}

interface Entry<T> {
  readonly value: T;
  readonly visibleAtMs: number;
}

/** Creates a value with a lag in ms; the initial value is visible at once. */
export function createLagged<T>(initial: T, lagMs: () => number): Lagged<T> {
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
