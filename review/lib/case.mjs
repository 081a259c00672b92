/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { clearTimeout, setTimeout } from 'node:timers';
import process from 'node:process';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Whether the disruption takes place; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

const LIMIT_MS = 115_000;

/**
 * `play` gets the folder of the case and a list to which it adds functions that end what it started.
 * It resolves to `{ isBroken, summary }`, or throws when the case could not run.
 */
export async function runCase(url, play) {
  const directory = dirname(fileURLToPath(url));
  const stops = [];
  let code = 2;
  let overtime;
  const finish = async (exitCode) => {
    clearTimeout(overtime);
    for (const stop of stops.reverse()) await stop();
    process.exit(exitCode);
  };
  const giveUp = () => {
    process.stderr.write('the case was stopped or took too long\n');
    finish(2);
  };
  overtime = setTimeout(giveUp, LIMIT_MS);
  process.once('SIGTERM', giveUp);
  process.once('SIGINT', giveUp);
  try {
    const { isBroken, summary } = await play(directory, stops);
    process.stdout.write(`${summary}\n${isBroken ? 'BROKEN' : 'held'}\n`);
    code = isBroken ? 1 : 0;
  } catch (thrown) {
    process.stderr.write(`the case could not run: ${thrown.stack ?? thrown}\n`);
  }
  await finish(code);
}
