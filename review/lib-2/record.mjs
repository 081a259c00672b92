/** Writes what was sent, answered and run, with the time since the start of the case. */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { createWriteStream } from 'node:fs';

/** Creates the record of a case in the file at `path`. */
export function createRecord(path) {
  const startedAt = performance.now();
  const stream = createWriteStream(path);
  const note = (text) => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    stream.write(`${seconds.padStart(8)} ${text}\n`);
  };
  return {
    note,
    /** Notes a line and prints it. */
    say: (text) => {
      note(text);
      process.stdout.write(`${text}\n`);
    },
    end: () =>
      new Promise((resolve) => {
        stream.end(resolve);
      }),
  };
}
