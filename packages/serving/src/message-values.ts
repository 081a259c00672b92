/** Checks of values in messages from peers and in entries of other writers. */

const MAX_PORT = 65_535;

/** Whether a value is a finite number of at least 0. */
export function isNonNegative(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

/** Whether a value is a port to which can be sent. */
export function isPort(value: unknown): value is number {
  return typeof value === 'number' && Number.isInteger(value) && value > 0 && value <= MAX_PORT;
}
