/** Field types of settings and tables: how each is parsed, described and formatted. */
import { isIP } from 'node:net';
import * as v from 'valibot';
import type { ListenAddress } from './types.js';

/** Parses, describes and formats the value of one key. */
export interface Field<T> {
  /** Parses the text of the value, or `undefined` when the key is missing. */
  readonly schema: v.GenericSchema<unknown, T>;
  /** Description of the allowed values, for messages. */
  readonly allowed: string;
  /** Returns the text of a value, or `undefined` when the key is to be omitted. */
  format(value: T): string | undefined;
  /** Whether the value is left out of messages. */
  readonly isSecret?: boolean;
}

/** A field with any type of value. */
interface AnyField {
  readonly schema: v.GenericSchema<unknown, unknown>;
  readonly allowed: string;
  format(value: never): string | undefined;
  readonly isSecret?: boolean;
}

/** Fields by key. */
export type Fields = Readonly<Record<string, AnyField>>;

/** The parsed values of a set of fields, by key. */
export type Values<F> = {
  readonly [K in keyof F]: F[K] extends Field<infer T> ? T : never;
};

/** Pattern of names, which are used in object keys and section titles. */
export const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

export const ALLOWED_NAME =
  'letters, digits, ".", "_" and "-", at most 64, first a letter or digit';

const MAX_PORT = 65_535;

/** Parses `IP:port`, with IPv6 addresses in brackets. Returns `undefined` for other texts. */
export function splitAddress(text: string): ListenAddress | undefined {
  const match = /^(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3] ?? 0);
  const family = match?.[1] === undefined ? 4 : 6;
  if (isIP(host) !== family || port < 1 || port > MAX_PORT) return undefined;
  return { host, port };
}

/** Formats an address as `IP:port`, with IPv6 addresses in brackets. */
export function formatAddress({ host, port }: ListenAddress): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Splits a text at commas and drops empty items. */
export const splitList = (text: string): string[] =>
  text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');

/** Creates a field. `parse` returns `undefined` for text that is not allowed. */
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
  const defaultText = field.format(value) ?? '';
  return {
    ...field,
    schema: v.optional(field.schema, defaultText),
    allowed: `${field.allowed}; default ${defaultText === '' ? 'empty' : defaultText}`,
  };
}

/** Makes a field optional, with `undefined` as the value of a missing key. */
export function allowMissing<T>(field: Field<T>): Field<T | undefined> {
  return {
    ...field,
    schema: v.optional(field.schema),
    allowed: `${field.allowed}; optional`,
    format: (value) => (value === undefined ? undefined : field.format(value)),
  };
}

/** Creates a field for whole numbers from `min` to `max`. The unit is part of the key (`_ms`). */
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

/** Creates a field for positive decimal numbers. */
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

/** Creates a boolean field with the texts `yes` and `no`. */
export function createYesNoField(): Field<boolean> {
  const valueByWord: Readonly<Record<string, boolean>> = { yes: true, no: false };
  return createField(
    (text) => (Object.hasOwn(valueByWord, text) ? valueByWord[text] : undefined),
    'yes or no',
    (value) => (value ? 'yes' : 'no'),
  );
}

/** Creates a field that allows only the given words. */
export function createChoiceField<W extends string>(words: readonly W[]): Field<W> {
  return createField(
    (text) => words.find((word) => word === text),
    `one of ${words.join(', ')}`,
    (value) => value,
  );
}

/** Creates a field for text that matches a pattern. */
export function createTextField<T extends string>(pattern: RegExp, allowed: string): Field<T> {
  return createField(
    (value) => (pattern.test(value) ? (value as T) : undefined),
    allowed,
    (value) => value,
  );
}

/** Creates a field for the name of an object, such as a pool or VM. */
export function createNameField<T extends string>(): Field<T> {
  return createTextField<T>(NAME_PATTERN, ALLOWED_NAME);
}

/**
 * Creates a field for a list of distinct words separated by commas. `convert` returns `undefined`
 * for a word that is not allowed.
 */
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

/** Creates a field for the address of a listener. */
export function createListenField(): Field<ListenAddress> {
  return createField(splitAddress, 'IP:port, such as 10.0.0.1:8080', formatAddress);
}

const SCHEME = 'http://';

/** Creates a field for the address of a service: `IP:port` in text, parsed to `http://IP:port`. */
export function createServiceField(): Field<string> {
  return createField(
    (value) => {
      const addressText = value.startsWith(SCHEME) ? value.slice(SCHEME.length) : value;
      const address = splitAddress(addressText);
      return address === undefined ? undefined : `${SCHEME}${formatAddress(address)}`;
    },
    'IP:port, such as 10.0.0.1:8080',
    (url) => (url.startsWith(SCHEME) ? url.slice(SCHEME.length) : url),
  );
}

/** Creates a field for a secret, which is left out of messages. */
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
