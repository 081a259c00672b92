/** Tells what an INI file holds from its section titles. */
import { readIni } from './read-ini.js';

export type FileKind = 'settings' | 'routes' | 'pools';

const KIND_OF_WORD: Readonly<Record<string, FileKind>> = {
  node: 'settings',
  platform: 'settings',
  limits: 'settings',
  operator: 'settings',
  route: 'routes',
  pool: 'pools',
  upstream: 'pools',
};

/** The kind that most section titles speak for, or `undefined` when none is known. */
export function recogniseFile(text: string): FileKind | undefined {
  const votes = new Map<FileKind, number>();
  for (const { title } of readIni(text, '').sections) {
    const word = title.split(' ')[0] ?? '';
    const kind = Object.hasOwn(KIND_OF_WORD, word) ? KIND_OF_WORD[word] : undefined;
    if (kind !== undefined) votes.set(kind, (votes.get(kind) ?? 0) + 1);
  }
  return [...votes].sort((a, b) => b[1] - a[1])[0]?.[0];
}
