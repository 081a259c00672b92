/** Cold start of a back end: the period in which it can run only a few requests at a time. */

export interface ColdStartOptions {
  readonly coldLimit: number;
  readonly coldMs: number;
  readonly startsCold: boolean;
}

export interface ColdStart {
  isCold(): boolean;
  /** Starts a cold period of `coldMs`. */
  begin(): void;
  /**
   * Returns whether the back end is cold and `running` exceeds its limit of concurrent requests.
   */
  isOverloaded(running: number): boolean;
}

/** Creates the state of a back end, which is warm unless `startsCold` is set. */
export function createColdStart(options: ColdStartOptions): ColdStart {
  let coldUntilMs = options.startsCold ? performance.now() + options.coldMs : 0;
  const isCold = (): boolean => performance.now() < coldUntilMs;
  return {
    isCold,
    begin: () => {
      coldUntilMs = performance.now() + options.coldMs;
    },
    isOverloaded: (running) => isCold() && running > options.coldLimit,
  };
}
