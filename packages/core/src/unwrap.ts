/** Leaves the result style where an error ends the whole step. */
import type { Result } from 'neverthrow';

/** Returns the value or throws the error. */
export function unwrap<T, E extends Error>(result: Result<T, E>): T {
  if (result.isErr()) throw result.error;
  return result.value;
}
