/** Cold start of a back end: for a time it can run only a few requests at once. */

export interface ColdStartOptions {
  readonly coldLimit: number;
  readonly coldMs: number;
  readonly startsCold: boolean;
}

export interface ColdStart {
  isCold(): boolean;
  turnCold(): void;
  /** Whether `running` requests are more than a cold back end can run. */
  isOverloaded(running: number): boolean;
}

/** Creates the state of a back end that is warm unless `startsCold`. */
export function createColdStart(options: ColdStartOptions): ColdStart {
  let coldUntilMs = options.startsCold ? performance.now() + options.coldMs : 0;
  const isCold = (): boolean => performance.now() < coldUntilMs;
  return {
    isCold,
    turnCold: () => {
      coldUntilMs = performance.now() + options.coldMs;
    },
    isOverloaded: (running) => isCold() && running > options.coldLimit,
  };
}
