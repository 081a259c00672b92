/** Writes sections as INI text. */
import { safe } from 'ini';
import * as v from 'valibot';
import type { Fields, Values } from './fields.js';

/** A section as text: keys in the order of the fields. */
export interface SectionText {
  readonly title: string;
  readonly values: Readonly<Record<string, string>>;
}

/** Text of all values of a section; absent optional values are left out. */
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

/** Leaves out the values that equal the fields' defaults. */
export function omitDefaults(section: SectionText, fields: Fields): SectionText {
  const values = Object.entries(section.values).filter(([key, text]) => {
    const field = fields[key];
    if (field === undefined) return true;
    const byDefault = v.safeParse(field.schema, undefined);
    return !byDefault.success || field.format(byDefault.output as never) !== text;
  });
  return { title: section.title, values: Object.fromEntries(values) };
}

/** INI text of sections, with a blank line between them. */
export function formatIni(sections: readonly SectionText[]): string {
  return sections
    .map(({ title, values }) => {
      const lines = Object.entries(values).map(([key, text]) => `${key} = ${safe(text)}`);
      return `${[`[${title}]`, ...lines].join('\n')}\n`;
    })
    .join('\n');
}
