/** Checks the work performed for each organisation against its rate. */
import { countTokens } from '@hibiscusbank/core';
import type { Organisation } from '@hibiscusbank/configuration';
import { ROUTES } from './site.js';
import { readTokens } from './traffic.js';
import type { Call } from './traffic.js';
import type { Simulation } from './simulation.js';

const MS_PER_S = 1_000;
const TOKEN_TEXT = / [0-9a-f]{8}\.\d+/g;
const PLAIN_COST = ROUTES.find(({ id }) => id === 'plans')?.requestCost ?? 0;

/** Returns the tokens of the prompt and of the received response, or the cost of a plain request that ran. */
function countUsed({ work }: Simulation, call: Call): number {
  if (call.kind !== 'chat') return work.hasRun(call) ? PLAIN_COST : 0;
  const answered = readTokens(call.text).match(TOKEN_TEXT)?.length ?? 0;
  return answered === 0 ? 0 : countTokens(call.prompt) + answered;
}

/**
 * Checks every window that begins at the start of the run. Work is charged before it runs, so a later window
 * may contain work that was charged before it; the quota log checks the charges of those windows.
 */
export function checkUsage(simulation: Simulation, organisation: Organisation): void {
  const { id, ratePerS, burst } = organisation;
  const ended = simulation.traffic
    .calls()
    .filter(({ key }) => key.entry.organisation === id)
    .map((call) => ({ atMs: call.endedAtMs ?? Infinity, tokens: countUsed(simulation, call) }))
    .sort((a, b) => a.atMs - b.atMs);
  let used = 0;
  for (const { atMs, tokens } of ended) {
    used += tokens;
    const allowed = (ratePerS * atMs) / MS_PER_S + burst;
    if (used > allowed) {
      simulation.recorder.fail('usage', `${id} used ${used} of ${allowed} tokens in ${atMs} ms`);
      return;
    }
  }
}
