/** Formats sections as INI text. */
import { safe } from 'ini';
import * as v from 'valibot';
import type { Fields, Values } from './fields.js';

/** The text of a section, with keys in the order of its fields. */
export interface SectionText {
  readonly title: string;
  readonly values: Readonly<Record<string, string>>;
}

/** Returns the text of all values of a section, without optional values that are absent. */
export function formatFields<F extends Fields>(
  title: string,
  fields: F,
  values: Values<F>,
): SectionText {
  const texts: Record<string, string> = {};
  for (const [key, field] of Object.entries(fields)) {
    const text = field.format(values[key] as never);
    if (text !== undefined) texts[key] = text;
  }
  return { title, values: texts };
}

/** Returns a section without the values that equal the defaults of their fields. */
export function omitDefaults(section: SectionText, fields: Fields): SectionText {
  const values = Object.entries(section.values).filter(([key, text]) => {
    const field = fields[key];
    if (field === undefined) return true;
    const parsedDefault = v.safeParse(field.schema, undefined);
    return !parsedDefault.success || field.format(parsedDefault.output as never) !== text;
  });
  return { title: section.title, values: Object.fromEntries(values) };
}

/** Returns the INI text of sections, separated by blank lines. */
export function formatIni(sections: readonly SectionText[]): string {
  return sections
    .map(({ title, values }) => {
      const lines = Object.entries(values).map(([key, text]) => `${key} = ${safe(text)}`);
      return `${[`[${title}]`, ...lines].join('\n')}\n`;
    })
    .join('\n');
}
