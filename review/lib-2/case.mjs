/** Runs a case and turns its result into the exit code: 1 broken, 0 held, 2 could not run. */
import process from 'node:process';
import { setTimeout, clearTimeout } from 'node:timers';
import { createRecord } from './record.mjs';

const LIMIT_MS = 115_000;

/** Records in the file at `path`. `run(record, defer)` resolves to whether the rule was broken; `defer` registers what ends the case. */
export async function runCase(path, run) {
  const record = createRecord(path);
  const deferred = [];
  const clean = async () => {
    for (const each of deferred.reverse()) {
      try {
        await each();
      } catch (error) {
        record.note(`while ending: ${error}`);
      }
    }
    deferred.length = 0;
  };
  let code = 2;
  const limit = setTimeout(() => {
    record.say('could not run: out of time');
    clean().then(() => process.exit(2));
  }, LIMIT_MS);
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.once(signal, () => clean().then(() => process.exit(2)));
  try {
    const isBroken = await run(record, (each) => deferred.push(each));
    code = isBroken ? 1 : 0;
    record.say(isBroken ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    record.say(`could not run: ${error.stack ?? error}`);
  }
  clearTimeout(limit);
  await clean();
  await record.end();
  process.exit(code);
}
