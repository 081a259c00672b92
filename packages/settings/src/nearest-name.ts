/** Suggests the known name that is nearest to an unknown one. */

/** Length of the common prefix of two texts, for the choice between equal distances. */
function countCommonPrefix(a: string, b: string): number {
  let length = 0;
  while (length < a.length && length < b.length && a[length] === b[length]) length += 1;
  return length;
}

/** Levenshtein distance: insertions, deletions and substitutions count one each. */
export function measureDistance(a: string, b: string): number {
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

/** The quadratic distance is not computed for longer texts. */
const MAX_COMPARED_CHARS = 128;

/** Returns the known name nearest to `name`, or `undefined` when none is known. */
export function findNearest(name: string, known: readonly string[]): string | undefined {
  const compared = name.slice(0, MAX_COMPARED_CHARS).toLowerCase();
  const ranked = known.map((candidate) => ({
    candidate,
    distance: measureDistance(compared, candidate.slice(0, MAX_COMPARED_CHARS).toLowerCase()),
    prefix: countCommonPrefix(compared, candidate.toLowerCase()),
  }));
  ranked.sort((a, b) => a.distance - b.distance || b.prefix - a.prefix);
  return ranked[0]?.candidate;
}

/** A sentence that names the nearest known name, or says that there is none. */
export function suggestName(what: string, name: string, known: readonly string[]): string {
  const nearest = findNearest(name, known);
  if (nearest === undefined) return `unknown ${what}; none is known`;
  return `unknown ${what}; the nearest known one is "${nearest}"`;
}
