/** Short ids of prompt parts, so that all parts of a prompt fit into the messages between nodes. */
import { hash64 } from '@hibiscusbank/core';

/** Longer ids are replaced by their hash, which is longer than any id that is kept as it is. */
const MAX_PLAIN_LENGTH = 16;

function toPartId(part: string): string {
  return part.length <= MAX_PLAIN_LENGTH ? part : `#${hash64(part)}`;
}

/** Returns the ids of the parts that a caller named, each once and without empty ones. */
export function toPartIds(parts: readonly string[]): readonly string[] {
  return [...new Set(parts.filter((part) => part !== '').map(toPartId))];
}
