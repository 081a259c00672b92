/** `hibiscusbank demo`: a small site in one process, with a short report. */
import { toError } from '@hibiscusbank/core';
import { DATA_CENTRES } from './tables.js';
import { startDemoSite } from './site.js';
import { bookOnce, checkEnd, drainUnderLoad, withdrawKey } from './steps.js';
import type { CheckLine } from './steps.js';

type Print = (line: string) => void;

function printLines(print: Print, lines: readonly CheckLine[]): boolean {
  for (const { ok, text } of lines) print(`  ${ok ? 'ok    ' : 'FAILED'}  ${text}`);
  return lines.every(({ ok }) => ok);
}

async function runSteps(print: Print): Promise<boolean> {
  const site = await startDemoSite();
  print(`${site.nodes.length} nodes in ${DATA_CENTRES.join(', ')} are ready`);
  const results: boolean[] = [];
  try {
    print('a booking that must run once');
    results.push(printLines(print, await bookOnce(site)));
    print('a key that is issued and withdrawn');
    results.push(printLines(print, await withdrawKey(site)));
    print('streamed and plain requests while a data centre leaves and returns (14 s)');
    results.push(printLines(print, await drainUnderLoad(site)));
    print('afterwards');
    results.push(printLines(print, await checkEnd(site)));
  } finally {
    await site.stop();
  }
  return results.every(Boolean);
}

/** Runs the demo; resolves to whether every outcome was right. */
export async function runDemo(print: Print): Promise<boolean> {
  const startedAt = performance.now();
  try {
    const ok = await runSteps(print);
    const seconds = Math.round((performance.now() - startedAt) / 1_000);
    print(
      ok ? `all outcomes were right (${seconds} s)` : `some outcomes were wrong (${seconds} s)`,
    );
    return ok;
  } catch (thrown) {
    print(`the demo could not run: ${toError(thrown).message}`);
    return false;
  }
}
