/** Performs one randomised run: starts all nodes, applies the commands, ends all faults and checks the outcome. */
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
import { createSimulation } from './simulation.js';
import type { Simulation } from './simulation.js';

const START_TIMEOUT_MS = 60_000;
const START_STEP_MS = 1_000;
/** Exceeds the time limits of requests and the fencing period of removed quota holders. */
const RECOVERY_MS = 90_000;

const STOP_MS = 1_000;

export interface RunReport {
  readonly failures: readonly string[];
  readonly counts: Readonly<Record<string, number>>;
}

async function startAll(simulation: Simulation): Promise<void> {
  for (const vm of VMS) simulation.fleet.start(vm);
  let waitedMs = 0;
  while (simulation.fleet.ready().length < VMS.length && waitedMs < START_TIMEOUT_MS) {
    await simulation.advance(START_STEP_MS);
    waitedMs += START_STEP_MS;
  }
  if (simulation.fleet.ready().length < VMS.length)
    simulation.recorder.fail('nodes_start', 'not all nodes became ready');
  await simulation.advance(START_STEP_MS);
}

async function healAll(simulation: Simulation, operator: Operator): Promise<void> {
  simulation.faults.heal();
  operator.endDrains();
  for (const engine of simulation.engines.list()) {
    simulation.engines.restart(engine);
    engine.core.faults.clear();
  }
  for (const { core } of simulation.upstreams.list()) core.faults.clear();
  for (const instance of simulation.fleet.running()) {
    if (instance.nodeProcess.isPaused()) simulation.fleet.resume(instance);
  }
  await simulation.advance(RECOVERY_MS / 2);
  for (const vm of VMS) simulation.fleet.start(vm);
  await simulation.advance(RECOVERY_MS / 2);
}

async function runSimulation(simulation: Simulation, commands: readonly Command[]): Promise<void> {
  const { recorder } = simulation;
  const operator = createOperator(simulation);
  const hasFailed = (): boolean => recorder.failures().length > 0;
  await startAll(simulation);
  for (const command of commands) {
    if (hasFailed()) return;
    await simulation.advance(command.delayMs);
    applyCommand(simulation, operator, command);
  }
  await healAll(simulation, operator);
  if (!hasFailed()) checkOutcome(simulation);
}

/** Runs the commands on a new simulated site. */
export async function runCommands(seed: number, commands: readonly Command[]): Promise<RunReport> {
  const clock = installClock(createRandom(seed));
  try {
    const simulation = createSimulation(clock, seed);
    await runSimulation(simulation, commands);
    simulation.stop();
    // Pending work of killed processes must end before the real timers are restored.
    await clock.advance(STOP_MS);
    return { failures: simulation.recorder.failures(), counts: simulation.recorder.counts() };
  } finally {
    clock.uninstall();
  }
}

export interface SoakOptions {
  readonly seed: number;
  readonly minCommands: number;
  readonly maxCommands: number;
  /** Time limit for shrinking a failing run; 0 reports the run without shrinking. */
  readonly shrinkMs: number;
  readonly onReport?: (report: RunReport) => void;
}

/** Performs the run of a seed; returns a report of the failures and the commands, or `undefined` on success. */
export async function soakSeed(options: SoakOptions): Promise<string | undefined> {
  const { seed, minCommands, maxCommands, shrinkMs } = options;
  let lastFailures: readonly string[] = [];
  const property = fc.asyncProperty(
    generateCommands(minCommands, maxCommands),
    async (commands) => {
      const report = await runCommands(seed, commands);
      options.onReport?.(report);
      if (report.failures.length === 0) return true;
      lastFailures = report.failures;
      return false;
    },
  );
  const result = await fc.check(property, {
    seed,
    numRuns: 1,
    endOnFailure: shrinkMs === 0,
    ...(shrinkMs === 0 ? {} : { interruptAfterTimeLimit: shrinkMs }),
  });
  if (!result.failed || result.counterexample === null) return undefined;
  const [commands] = result.counterexample;
  return [
    `seed ${seed} fails, replay with: npm run soak -- --seed ${seed} --runs 1 --commands ${maxCommands}`,
    ...lastFailures.map((failure) => `  ${failure}`),
    `commands (${commands.length}):`,
    ...commands.map((command) => `  ${formatCommand(command)}`),
  ].join('\n');
}
