/** Splits lists that would not fit into one datagram. */

/** Returns the items in groups of `maxItems` at most, none for an empty list. */
export function splitIntoMessages<T>(
  items: readonly T[],
  maxItems: number,
): readonly (readonly T[])[] {
  const count = Math.ceil(items.length / maxItems);
  return Array.from({ length: count }, (_, index) =>
    items.slice(index * maxItems, (index + 1) * maxItems),
  );
}
