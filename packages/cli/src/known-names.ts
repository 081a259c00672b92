/** Refuses names that do not exist, with the nearest that does. */
import { createError } from '@hibiscusbank/core';
import { suggestName } from '@hibiscusbank/settings';

/** Rejects with `not_found` unless the name is known. */
export function checkName(what: string, name: string, known: readonly string[]): void {
  if (known.includes(name)) return;
  throw createError('not_found', `${name}: ${suggestName(what, name, known)}`, {
    info: { name, known: known.slice(0, 100) },
  });
}
