/** Reads INI text into sections, and reports each line that is neither header, setting nor comment. */
import { parse } from 'ini';
import { Result } from 'neverthrow';
import type { SettingsFault } from './faults.js';

/** A value with the line that it stands on. */
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

const HEADER = /^\[([^\]]*)\]\s*(?:[;#].*)?$/;
const SKIPPED = /^(?:[;#].*)?$/;

interface KeyAndText {
  readonly key: string;
  readonly text: string;
}

/** `ini` parses quoted parts as JSON and can fail on odd ones, hence the guard. */
const parseLine = Result.fromThrowable((line: string): KeyAndText | undefined => {
  const [pair] = Object.entries(parse(line, { bracketedArray: false }));
  if (pair === undefined || typeof pair[1] === 'object') return undefined;
  return { key: pair[0], text: String(pair[1]) };
});

interface ReadState {
  readonly file: string;
  readonly sections: IniSection[];
  readonly faults: SettingsFault[];
  /** Values of the section that is being read. */
  values: Map<string, IniValue> | undefined;
}

function addFault(
  state: ReadState,
  line: number,
  allowed: string,
  key: string | undefined = undefined,
): void {
  const section = state.sections.at(-1)?.title ?? '';
  state.faults.push({ file: state.file, line, section, key, found: undefined, allowed });
}

function openSection(state: ReadState, title: string, line: number): void {
  const first = state.sections.find((section) => section.title === title);
  state.values = new Map();
  state.sections.push({ title, line, values: state.values });
  if (first !== undefined) {
    addFault(state, line, `a section may occur once; it is also at line ${first.line}`);
  }
}

function readValue(state: ReadState, text: string, line: number): void {
  const pair = text.includes('=') ? parseLine(text).unwrapOr(undefined) : undefined;
  if (pair === undefined) {
    // The line is not shown, since it can hold a secret with a typing error.
    addFault(state, line, 'expected "[section]", "key = value" or a comment that begins with ;');
    return;
  }
  if (state.values === undefined) {
    addFault(state, line, 'a key must stand in a section; add a "[section]" line above', pair.key);
    return;
  }
  const first = state.values.get(pair.key);
  if (first !== undefined) {
    addFault(state, line, `a key may occur once; it is also at line ${first.line}`, pair.key);
    return;
  }
  state.values.set(pair.key, { line, text: pair.text });
}

/** Reads INI text. Never throws; all faults are in the result. */
export function readIni(text: string, file: string): IniFile {
  const state: ReadState = { file, sections: [], faults: [], values: undefined };
  text.split(/\r\n|\r|\n/).forEach((raw, index) => {
    const trimmed = raw.replace(/^\uFEFF/, '').trim();
    if (SKIPPED.test(trimmed)) return;
    const header = HEADER.exec(trimmed);
    if (header === null) readValue(state, trimmed, index + 1);
    else openSection(state, (header[1] ?? '').trim().replace(/\s+/g, ' '), index + 1);
  });
  return { file, sections: state.sections, faults: state.faults };
}
