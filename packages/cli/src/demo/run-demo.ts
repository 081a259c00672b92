/** `hibiscusbank demo`: runs checks against a small deployment in one process and prints a report. */
import { toError } from '@hibiscusbank/core';
import { DATA_CENTRES } from './tables.js';
import { startDemoSite } from './site.js';
import {
  checkIdempotentBooking,
  checkFinalState,
  checkDrainUnderLoad,
  checkKeyWithdrawal,
} from './steps.js';
import type { CheckResult } from './steps.js';

type Print = (line: string) => void;

function printResults(print: Print, lines: readonly CheckResult[]): boolean {
  for (const { ok, text } of lines) print(`  ${ok ? 'ok    ' : 'FAILED'}  ${text}`);
  return lines.every(({ ok }) => ok);
}

async function runSteps(print: Print): Promise<boolean> {
  const site = await startDemoSite();
  print(`${site.nodes.length} nodes in ${DATA_CENTRES.join(', ')} are ready`);
  const results: boolean[] = [];
  try {
    print('a booking that is sent repeatedly and must run once');
    results.push(printResults(print, await checkIdempotentBooking(site)));
    print('a key that is issued and withdrawn');
    results.push(printResults(print, await checkKeyWithdrawal(site)));
    print('streamed and plain requests while a data centre is drained and returned (14 s)');
    results.push(printResults(print, await checkDrainUnderLoad(site)));
    print('state after all requests');
    results.push(printResults(print, await checkFinalState(site)));
  } finally {
    await site.stop();
  }
  return results.every(Boolean);
}

/** Runs the demo; resolves to whether every check passed. */
export async function runDemo(print: Print): Promise<boolean> {
  const startedAt = performance.now();
  try {
    const passed = await runSteps(print);
    const seconds = Math.round((performance.now() - startedAt) / 1_000);
    print(passed ? `all checks passed (${seconds} s)` : `some checks failed (${seconds} s)`);
    return passed;
  } catch (thrown) {
    print(`the demo could not run: ${toError(thrown).message}`);
    return false;
  }
}
