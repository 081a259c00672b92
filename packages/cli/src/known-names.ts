/** Rejects unknown names and suggests the most similar known one. */
import { createError } from '@hibiscusbank/core';
import { suggestName } from '@hibiscusbank/settings';

/** Throws `not_found` unless the name is known. */
export function checkName(label: string, name: string, known: readonly string[]): void {
  if (known.includes(name)) return;
  throw createError('not_found', `${name}: ${suggestName(label, name, known)}`, {
    info: { name, known: known.slice(0, 100) },
  });
}
