import fc from 'fast-check';
import { createRandom } from '@hibiscusbank/core';
import { generateCommands, formatCommand } from '../dist/soak/commands.js';
import { installClock } from '../dist/soak/clock.js';
import { createWorld } from '../dist/soak/world.js';
import { createOperator } from '../dist/soak/operator.js';
import { applyCommand } from '../dist/soak/apply-command.js';
import { checkOutcome } from '../dist/soak/final-checks.js';
import { VMS } from '../dist/soak/site.js';
const [seed, n, pat] = [
  Number(process.argv[2]),
  Number(process.argv[3]),
  new RegExp(process.argv[4] ?? '.'),
];
const [commands] = fc.sample(generateCommands(n, n), { seed, numRuns: 1 });
const clock = installClock(createRandom(seed));
const out = (s) => {
  if (pat.test(s)) process.stdout.write(s + '\n');
};
globalThis.soakLog = (vm, level, context, text) =>
  out(`${Math.round(performance.now())} ${vm} ${text} ${JSON.stringify(context)}`);
const world = createWorld(clock, seed);
const op = createOperator(world);
for (const vm of VMS) world.fleet.start(vm);
let w = 0;
while (world.fleet.ready().length < 6 && w < 60) {
  await world.advance(1000);
  w += 1;
}
await world.advance(1000);
for (const c of commands) {
  if (world.journal.failures().length) break;
  await world.advance(c.gapMs);
  const before = world.traffic.calls().length;
  applyCommand(world, op, c);
  out(
    `${Math.round(performance.now())} CMD ${formatCommand(c)} -> calls ${world.traffic
      .calls()
      .slice(before)
      .map((k) => k.id + '@' + k.connection?.instance.vm.id)}`,
  );
}
if (!world.journal.failures().length) {
  world.faults.heal();
  op.endDrains();
  for (const e of world.engines.list()) {
    world.engines.revive(e);
    e.core.faults.clear();
  }
  for (const { core } of world.upstreams.list()) core.faults.clear();
  for (const i of world.fleet.running()) if (i.owner.isPaused()) world.fleet.resume(i);
  out('HEALED');
  await world.advance(45000);
  for (const vm of VMS) world.fleet.start(vm);
  await world.advance(45000);
}
if (!world.journal.failures().length) checkOutcome(world);
out('END ' + world.journal.failures().join('\n'));
process.exit(0);
