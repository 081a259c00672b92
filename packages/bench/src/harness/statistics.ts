/** Calculations that several benches share. */
import { loadavg } from 'node:os';

/** Returns the mean of a log-uniform distribution, from which the load generator draws lengths. */
export function meanOfLogRange(min: number, max: number): number {
  return max <= min ? min : (max - min) / Math.log(max / min);
}

export function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}

/**
 * Returns the load average of the last minute. Figures are reported with it, since other work may
 * share the machine.
 */
export function readLoadAverage(): number {
  return round(loadavg()[0] ?? 0, 1);
}
