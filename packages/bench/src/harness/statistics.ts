/** Small sums that several benches print. */
import { loadavg } from 'node:os';

/** Mean of a range that the load tool draws from evenly on a logarithmic scale. */
export function meanOfLogRange(min: number, max: number): number {
  return max <= min ? min : (max - min) / Math.log(max / min);
}

export function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}

/** Load average of the last minute, printed beside figures because other work shares the machine. */
export function readLoadAverage(): number {
  return round(loadavg()[0] ?? 0, 1);
}
