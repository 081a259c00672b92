/** Fields of settings and tables: schema, what is allowed, and the way back to text. */
import { isIP } from 'node:net';
import * as v from 'valibot';
import type { ListenAddress } from './types.js';

/** How one key is read, described and written. */
export interface Field<T> {
  /** From the text, or `undefined` when the key is missing. */
  readonly schema: v.GenericSchema<unknown, T>;
  /** What is allowed, for messages. */
  readonly allowed: string;
  /** Text of a value; `undefined` leaves the key out. */
  format(value: T): string | undefined;
  /** The value is never shown. */
  readonly isSecret?: boolean;
}

/** A field whatever the type of its values. */
interface AnyField {
  readonly schema: v.GenericSchema<unknown, unknown>;
  readonly allowed: string;
  format(value: never): string | undefined;
  readonly isSecret?: boolean;
}

/** Fields by key. */
export type Fields = Readonly<Record<string, AnyField>>;

/** Values read by fields. */
export type Values<F> = {
  readonly [K in keyof F]: F[K] extends Field<infer T> ? T : never;
};

/** Names are parts of object keys and of section titles. */
export const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

export const ALLOWED_NAME =
  'letters, digits, ".", "_" and "-", at most 64, first a letter or digit';

const MAX_PORT = 65_535;

/** Splits `IP:port`, with IPv6 in brackets. */
export function splitAddress(text: string): ListenAddress | undefined {
  const match = /^(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3] ?? 0);
  const family = match?.[1] === undefined ? 4 : 6;
  if (isIP(host) !== family || port < 1 || port > MAX_PORT) return undefined;
  return { host, port };
}

/** Writes an address as `IP:port`. */
export function formatAddress({ host, port }: ListenAddress): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Splits at commas; empty items are dropped. */
export const splitList = (text: string): string[] =>
  text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');

/** Creates a field; `parse` returns `undefined` for text that is not allowed. */
export function createField<T>(
  parse: (text: string) => T | undefined,
  allowed: string,
  format: (value: T) => string,
): Field<T> {
  return {
    schema: v.pipe(
      v.string(),
      v.rawTransform<string, T>(({ dataset, addIssue, NEVER }) => {
        const value = parse(dataset.value);
        if (value !== undefined) return value;
        addIssue({ message: allowed });
        return NEVER;
      }),
    ),
    allowed,
    format,
  };
}

/** Makes a field optional with a default value. */
export function addDefault<T>(field: Field<T>, value: T): Field<T> {
  const shown = field.format(value) ?? '';
  return {
    ...field,
    schema: v.optional(field.schema, shown),
    allowed: `${field.allowed}; default ${shown === '' ? 'empty' : shown}`,
  };
}

/** Makes a field optional without a value. */
export function allowMissing<T>(field: Field<T>): Field<T | undefined> {
  return {
    ...field,
    schema: v.optional(field.schema),
    allowed: `${field.allowed}; optional`,
    format: (value) => (value === undefined ? undefined : field.format(value)),
  };
}

/** Whole number in a range; the unit is part of the key. */
export function createIntegerField(min: number, max = Number.MAX_SAFE_INTEGER): Field<number> {
  const allowed =
    max === Number.MAX_SAFE_INTEGER
      ? `a whole number, at least ${min}`
      : `a whole number from ${min} to ${max}`;
  return createField(
    (text) => {
      const value = /^\d{1,16}$/.test(text) ? Number(text) : Number.NaN;
      return value >= min && value <= max ? value : undefined;
    },
    allowed,
    String,
  );
}

const MAX_DECIMAL = 1e15;

/** Number above zero, with decimals. */
export function createDecimalField(): Field<number> {
  return createField(
    (text) => {
      const value = /^\d{1,16}(\.\d{1,9})?$/.test(text) ? Number(text) : 0;
      return value > 0 && value <= MAX_DECIMAL ? value : undefined;
    },
    'a number above 0, such as 10 or 0.5',
    String,
  );
}

/** `yes` or `no`. */
export function createYesNoField(): Field<boolean> {
  const words: Readonly<Record<string, boolean>> = { yes: true, no: false };
  return createField(
    (text) => (Object.hasOwn(words, text) ? words[text] : undefined),
    'yes or no',
    (value) => (value ? 'yes' : 'no'),
  );
}

/** One of a few words. */
export function createChoiceField<W extends string>(words: readonly W[]): Field<W> {
  return createField(
    (text) => words.find((word) => word === text),
    `one of ${words.join(', ')}`,
    (value) => value,
  );
}

/** Text that matches a pattern. */
export function createTextField<T extends string>(pattern: RegExp, allowed: string): Field<T> {
  return createField(
    (value) => (pattern.test(value) ? (value as T) : undefined),
    allowed,
    (value) => value,
  );
}

/** A name of an object. */
export function createNameField<T extends string>(): Field<T> {
  return createTextField<T>(NAME, ALLOWED_NAME);
}

/** Words separated by commas, each once; `convert` returns `undefined` for one not allowed. */
export function createListField<T extends string>(
  convert: (item: string) => T | undefined,
  allowed: string,
): Field<readonly T[]> {
  return createField<readonly T[]>(
    (value) => {
      const items = splitList(value).map(convert);
      const valid = items.filter((item): item is T => item !== undefined);
      if (valid.length < items.length) return undefined;
      return new Set(valid).size === valid.length ? valid : undefined;
    },
    `${allowed}, separated by commas, each once`,
    (items) => items.join(', '),
  );
}

/** Address to listen on. */
export function createListenField(): Field<ListenAddress> {
  return createField(splitAddress, 'IP:port, such as 10.0.0.1:8080', formatAddress);
}

const SCHEME = 'http://';

/** Address of a service, written `IP:port` and used as the base URL `http://IP:port`. */
export function createServiceField(): Field<string> {
  return createField(
    (value) => {
      const bare = value.startsWith(SCHEME) ? value.slice(SCHEME.length) : value;
      const address = splitAddress(bare);
      return address === undefined ? undefined : `${SCHEME}${formatAddress(address)}`;
    },
    'IP:port, such as 10.0.0.1:8080',
    (url) => (url.startsWith(SCHEME) ? url.slice(SCHEME.length) : url),
  );
}

/** Text that is never shown. */
export function createSecretField(minChars: number): Field<string> {
  return {
    ...createField(
      (value) => (value.length >= minChars ? value : undefined),
      `at least ${minChars} characters, the same on all nodes`,
      () => '(hidden)',
    ),
    isSecret: true,
  };
}
