/** Entry point of the benches: `npm run -s bench -- NAME [--seed N] [--seconds T]`. */
import { command, number, oneOf, option, positional, run } from 'cmd-ts';
import { runChunks } from './benches/chunks.js';
import { runConfig } from './benches/config.js';
import { runControl } from './benches/control.js';
import { runFaults } from './benches/faults.js';
import { runHandoff } from './benches/handoff.js';
import { runRelay } from './benches/relay.js';
import { runTenants } from './benches/tenants.js';
import { runZone } from './benches/zone.js';
import type { Bench } from './types.js';

const benches: Record<string, Bench> = {
  chunks: runChunks,
  config: runConfig,
  control: runControl,
  faults: runFaults,
  handoff: runHandoff,
  relay: runRelay,
  tenants: runTenants,
  zone: runZone,
};

const EXIT_INVARIANT_BROKEN = 1;

const app = command({
  name: 'bench',
  description: 'Runs a bench. The last line of output is one JSON object.',
  args: {
    name: positional({ type: oneOf(Object.keys(benches)), displayName: 'NAME' }),
    seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
    seconds: option({ type: number, long: 'seconds', defaultValue: () => 60 }),
  },
  handler: async ({ name, seed, seconds }) => {
    const print = (line: string): void => {
      process.stdout.write(`${line}\n`);
    };
    const result = await benches[name]?.({ seed, seconds, print });
    if (result === undefined) return;
    for (const invariant of result.broken) print(`broken invariant: ${invariant}`);
    print(JSON.stringify({ bench: name, seed, ...result.fields, broken: result.broken }));
    process.exit(result.broken.length === 0 ? 0 : EXIT_INVARIANT_BROKEN);
  },
});

await run(app, process.argv.slice(2));
