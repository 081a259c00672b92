/** Reads INI text into sections of string values. */
import { parse } from 'ini';

/** A section by name, with its keys as strings. */
export type Sections = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** Parses INI text. Keys outside of a section are dropped. */
export function readSections(text: string): Sections {
  const sections: Record<string, Record<string, string>> = {};
  for (const [name, value] of Object.entries(parse(text))) {
    if (typeof value !== 'object' || value === null) continue;
    sections[name] = Object.fromEntries(
      Object.entries(value).map(([key, item]) => [key, String(item)]),
    );
  }
  return sections;
}
