/**
 * Reads INI text into sections. A line that is neither blank nor a section header, a key with a value
 * or a comment is a fault.
 */
import { parse } from 'ini';
import { Result } from 'neverthrow';
import type { SettingsFault } from './faults.js';

/** A value and its line number, starting at 1. */
export interface IniValue {
  readonly line: number;
  readonly text: string;
}

export interface IniSection {
  /** Title without brackets, with single spaces. */
  readonly title: string;
  readonly line: number;
  readonly values: ReadonlyMap<string, IniValue>;
}

export interface IniFile {
  readonly file: string;
  readonly sections: readonly IniSection[];
  readonly faults: readonly SettingsFault[];
}

const SECTION_HEADER_PATTERN = /^\[([^\]]*)\]\s*(?:[;#].*)?$/;
const BLANK_OR_COMMENT_PATTERN = /^(?:[;#].*)?$/;

interface KeyValuePair {
  readonly key: string;
  readonly text: string;
}

/** Parses one line with `ini`, which can throw since it parses quoted parts as JSON. */
const parseLine = Result.fromThrowable((line: string): KeyValuePair | undefined => {
  const [pair] = Object.entries(parse(line, { bracketedArray: false }));
  if (pair === undefined || typeof pair[1] === 'object') return undefined;
  return { key: pair[0], text: String(pair[1]) };
});

interface ParserState {
  readonly file: string;
  readonly sections: IniSection[];
  readonly faults: SettingsFault[];
  /** Values of the current section; `undefined` before the first section. */
  values: Map<string, IniValue> | undefined;
}

function addFault(
  state: ParserState,
  line: number,
  allowed: string,
  key: string | undefined = undefined,
): void {
  const section = state.sections.at(-1)?.title ?? '';
  state.faults.push({ file: state.file, line, section, key, found: undefined, allowed });
}

function startSection(state: ParserState, title: string, line: number): void {
  const first = state.sections.find((section) => section.title === title);
  state.values = new Map();
  state.sections.push({ title, line, values: state.values });
  if (first !== undefined) {
    addFault(state, line, `a section may occur once; it is also at line ${first.line}`);
  }
}

function readKeyValuePair(state: ParserState, text: string, line: number): void {
  const pair = text.includes('=') ? parseLine(text).unwrapOr(undefined) : undefined;
  if (pair === undefined) {
    // The message leaves out the line, since it can be a misspelt setting with a secret.
    addFault(state, line, 'expected "[section]", "key = value" or a comment that begins with ;');
    return;
  }
  if (state.values === undefined) {
    addFault(state, line, 'a key must be in a section; add a "[section]" line above', pair.key);
    return;
  }
  const first = state.values.get(pair.key);
  if (first !== undefined) {
    addFault(state, line, `a key may occur once; it is also at line ${first.line}`, pair.key);
    return;
  }
  state.values.set(pair.key, { line, text: pair.text });
}

/** Reads INI text. Never throws; the result lists all faults. */
export function readIni(text: string, file: string): IniFile {
  const state: ParserState = { file, sections: [], faults: [], values: undefined };
  text.split(/\r\n|\r|\n/).forEach((rawLine, index) => {
    const trimmed = rawLine.replace(/^\uFEFF/, '').trim();
    if (BLANK_OR_COMMENT_PATTERN.test(trimmed)) return;
    const header = SECTION_HEADER_PATTERN.exec(trimmed);
    if (header === null) readKeyValuePair(state, trimmed, index + 1);
    else startSection(state, (header[1] ?? '').trim().replace(/\s+/g, ' '), index + 1);
  });
  return { file, sections: state.sections, faults: state.faults };
}
