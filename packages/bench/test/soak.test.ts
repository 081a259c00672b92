/** Short randomised runs of the whole system with fixed seeds; `npm run soak` performs long ones. */
import { expect, test } from 'vitest';
import { soakSeed } from '../src/soak/run.js';

const SEEDS = [1, 2, 3, 4];
const COMMANDS = 60;

test.each(SEEDS)('a site under random faults keeps its invariants, seed %i', async (seed) => {
  const failure = await soakSeed({
    seed,
    minCommands: COMMANDS,
    maxCommands: COMMANDS,
    shrinkMs: 0,
  });

  expect(failure).toBeUndefined();
});
