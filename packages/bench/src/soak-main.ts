/** Performs long randomised runs of the whole system: `npm run soak -- --seed N --runs K`. */
import { parseArgs } from 'node:util';
import { soakSeed } from './soak/run.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '10' },
    commands: { type: 'string', default: '120' },
    'shrink-seconds': { type: 'string', default: '60' },
    verbose: { type: 'boolean', default: false },
  },
});

const MS_PER_S = 1_000;
const firstSeed = Number(values.seed);
const commands = Number(values.commands);
const totals = new Map<string, number>();
let failed = 0;

for (let seed = firstSeed; seed < firstSeed + Number(values.runs); seed += 1) {
  const startedAt = performance.now();
  const failure = await soakSeed({
    seed,
    minCommands: commands,
    maxCommands: commands,
    shrinkMs: Number(values['shrink-seconds']) * MS_PER_S,
    onReport: ({ counts }) => {
      for (const [name, count] of Object.entries(counts)) {
        totals.set(name, (totals.get(name) ?? 0) + count);
      }
    },
  });
  const seconds = ((performance.now() - startedAt) / MS_PER_S).toFixed(1);
  if (failure !== undefined) failed += 1;
  process.stdout.write(`${failure ?? `seed ${seed} passes`} (${seconds} s)\n`);
}
if (values.verbose) process.stdout.write(`${JSON.stringify(Object.fromEntries(totals))}\n`);
process.exitCode = failed === 0 ? 0 : 1;
