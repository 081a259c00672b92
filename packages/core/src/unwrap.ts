/** Converts a `Result` to a value or an exception, for operations that any error ends. */
import type { Result } from 'neverthrow';

/** Returns the value or throws the error. */
export function unwrap<T, E extends Error>(result: Result<T, E>): T {
  if (result.isErr()) throw result.error;
  return result.value;
}
