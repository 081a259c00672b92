/** One randomised run: start, commands, healing, checks. */
import { createRandom } from '@hibiscusbank/core';
import fc from 'fast-check';
import { applyCommand } from './apply-command.js';
import { installClock } from './clock.js';
import { formatCommand, generateCommands } from './commands.js';
import type { Command } from './commands.js';
import { checkOutcome } from './final-checks.js';
import { createOperator } from './operator.js';
import type { Operator } from './operator.js';
import { VMS } from './site.js';
import { createWorld } from './world.js';
import type { World } from './world.js';

const START_LIMIT_MS = 60_000;
const START_STEP_MS = 1_000;
/** Longer than the time limits of requests and the fence of removed quota holders. */
const SETTLE_MS = 90_000;

const STOP_MS = 1_000;

export interface RunReport {
  readonly failures: readonly string[];
  readonly counts: Readonly<Record<string, number>>;
}

async function startAll(world: World): Promise<void> {
  for (const vm of VMS) world.fleet.start(vm);
  let waitedMs = 0;
  while (world.fleet.ready().length < VMS.length && waitedMs < START_LIMIT_MS) {
    await world.advance(START_STEP_MS);
    waitedMs += START_STEP_MS;
  }
  if (world.fleet.ready().length < VMS.length) world.journal.fail('starts', 'not all nodes ready');
  await world.advance(START_STEP_MS);
}

async function healAll(world: World, operator: Operator): Promise<void> {
  world.faults.heal();
  operator.endDrains();
  for (const engine of world.engines.list()) {
    world.engines.revive(engine);
    engine.core.faults.clear();
  }
  for (const { core } of world.upstreams.list()) core.faults.clear();
  for (const instance of world.fleet.running()) {
    if (instance.owner.isPaused()) world.fleet.resume(instance);
  }
  await world.advance(SETTLE_MS / 2);
  for (const vm of VMS) world.fleet.start(vm);
  await world.advance(SETTLE_MS / 2);
}

async function execute(world: World, commands: readonly Command[]): Promise<void> {
  const { journal } = world;
  const operator = createOperator(world);
  const hasFailed = (): boolean => journal.failures().length > 0;
  await startAll(world);
  for (const command of commands) {
    if (hasFailed()) return;
    await world.advance(command.gapMs);
    applyCommand(world, operator, command);
  }
  await healAll(world, operator);
  if (!hasFailed()) checkOutcome(world);
}

/** Runs the commands on a new site. */
export async function runCommands(seed: number, commands: readonly Command[]): Promise<RunReport> {
  const clock = installClock(createRandom(seed));
  try {
    const world = createWorld(clock, seed);
    await execute(world, commands);
    world.stop();
    // What is still under way in killed processes must not reach the runtime's own timers.
    await clock.advance(STOP_MS);
    return { failures: world.journal.failures(), counts: world.journal.counts() };
  } finally {
    clock.uninstall();
  }
}

export interface SoakOptions {
  readonly seed: number;
  readonly minCommands: number;
  readonly maxCommands: number;
  /** Time for shrinking a failing run; 0 reports it as it is. */
  readonly shrinkMs: number;
  readonly onReport?: (report: RunReport) => void;
}

/** Performs the run of a seed; returns what failed with the commands, or `undefined`. */
export async function soakSeed(options: SoakOptions): Promise<string | undefined> {
  const { seed, minCommands, maxCommands, shrinkMs } = options;
  let last: readonly string[] = [];
  const property = fc.asyncProperty(
    generateCommands(minCommands, maxCommands),
    async (commands) => {
      const report = await runCommands(seed, commands);
      options.onReport?.(report);
      if (report.failures.length === 0) return true;
      last = report.failures;
      return false;
    },
  );
  const details = await fc.check(property, {
    seed,
    numRuns: 1,
    endOnFailure: shrinkMs === 0,
    ...(shrinkMs === 0 ? {} : { interruptAfterTimeLimit: shrinkMs }),
  });
  if (!details.failed || details.counterexample === null) return undefined;
  const [commands] = details.counterexample;
  return [
    `seed ${seed} fails, replay with: npm run soak -- --seed ${seed} --runs 1 --commands ${maxCommands}`,
    ...last.map((failure) => `  ${failure}`),
    `commands (${commands.length}):`,
    ...commands.map((command) => `  ${formatCommand(command)}`),
  ].join('\n');
}
