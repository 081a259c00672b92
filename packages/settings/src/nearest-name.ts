/** Suggests a known name for a misspelt one. */

/** Returns the length of the common prefix, which decides between names at equal distance. */
function getCommonPrefixLength(a: string, b: string): number {
  let length = 0;
  while (length < a.length && length < b.length && a[length] === b[length]) length += 1;
  return length;
}

/** Returns the Levenshtein distance: an insertion, deletion or substitution counts one. */
export function computeEditDistance(a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let i = 1; i <= a.length; i += 1) {
    const current = [i];
    for (let j = 1; j <= b.length; j += 1) {
      const substitution = (previous[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
      current.push(Math.min(substitution, (previous[j] ?? 0) + 1, (current[j - 1] ?? 0) + 1));
    }
    previous = current;
  }
  return previous[b.length] ?? 0;
}

/** Longer names are cut before the comparison, since its cost is quadratic in the length. */
const MAX_COMPARED_CHARS = 128;

/** Returns the known name nearest to `name`, or `undefined` when `known` is empty. */
export function findNearest(name: string, known: readonly string[]): string | undefined {
  const compared = name.slice(0, MAX_COMPARED_CHARS).toLowerCase();
  const ranked = known.map((candidate) => ({
    candidate,
    distance: computeEditDistance(compared, candidate.slice(0, MAX_COMPARED_CHARS).toLowerCase()),
    prefixLength: getCommonPrefixLength(compared, candidate.toLowerCase()),
  }));
  ranked.sort((a, b) => a.distance - b.distance || b.prefixLength - a.prefixLength);
  return ranked[0]?.candidate;
}

/** Returns a message about an unknown name that suggests the nearest known name, if any. */
export function suggestName(kind: string, name: string, known: readonly string[]): string {
  const nearest = findNearest(name, known);
  if (nearest === undefined) return `unknown ${kind}; none is known`;
  return `unknown ${kind}; the nearest known one is "${nearest}"`;
}
