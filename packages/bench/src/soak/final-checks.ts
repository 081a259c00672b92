/** Checks at the end of a run, when all faults are healed and time has passed. */
import { checkConfiguration } from './configuration-checks.js';
import { ORGANISATIONS } from './site.js';
import { expectAnswer, readTokens } from './traffic.js';
import type { Call } from './traffic.js';
import { checkUsage } from './usage-check.js';
import type { World } from './world.js';

function checkAnswer(world: World, call: Call): void {
  const { journal, traffic } = world;
  if (call.kind === 'chat') {
    const got = readTokens(call.text);
    const expected = expectAnswer(call);
    if (got !== expected) journal.fail('whole_answer', `call ${call.id}: ${got} for ${expected}`);
    return;
  }
  const author = traffic.find(Number(/^done (\d+)$/.exec(call.text)?.[1]));
  const isOwn =
    author === call ||
    (call.kind === 'keyed_booking' &&
      author?.kind === 'keyed_booking' &&
      author.repeat === call.repeat &&
      author.key.entry.organisation === call.key.entry.organisation);
  if (!isOwn) journal.fail('own_answer', `call ${call.id} got ${call.text}`);
}

function checkCall(world: World, ranModels: ReadonlySet<Call>, call: Call): void {
  const { journal, work } = world;
  if (call.connection !== undefined) {
    journal.fail('has_outcome', `call ${call.id} (${call.kind}) has none`);
  }
  if (call.state === 'answered') checkAnswer(world, call);
  if (call.state === 'refused' && call.outcome === undefined && call.kind !== 'chat') {
    journal.fail('states_outcome', `call ${call.id}: status ${call.status} without outcome`);
  }
  const claimsNotRun = call.outcome === 'not_run' && call.resumes === 0;
  if (claimsNotRun && call.state === 'refused' && (work.hasRun(call) || ranModels.has(call))) {
    journal.fail('not_run_is_true', `call ${call.id} (${call.kind}) ran: ${call.text}`);
  }
}

/** Model calls whose decode an engine began. */
function listRanModels(world: World): ReadonlySet<Call> {
  const ids = world.engines
    .list()
    .flatMap((engine) => Object.keys(engine.core.readRuns()))
    .filter((name) => name.startsWith('decode/'));
  const calls = ids.map((name) => world.work.findCall(name.split('/')[1] ?? ''));
  return new Set(calls.filter((call) => call !== undefined));
}

function checkIdle(world: World): void {
  const { journal, engines, fleet } = world;
  for (const { entry, core } of engines.list()) {
    const [hold] = core.holds();
    if (hold !== undefined) {
      journal.fail('no_hold_at_end', `${entry.id} holds ${hold.requestId}/${hold.attempt}`);
    }
  }
  for (const { vm, node } of fleet.running()) {
    for (const cell of node.scheduler.ownedCells()) {
      if (cell.queued > 0 || cell.freeSlots !== cell.slots) {
        const { cell: name, queued, freeSlots, slots } = cell;
        journal.fail(
          'idle_at_end',
          `${name} at ${vm.id}: ${queued} queued, ${freeSlots} of ${slots} slots free`,
        );
      }
    }
  }
}

/** Checks the outcome of the whole run. */
export function checkOutcome(world: World): void {
  const ranModels = listRanModels(world);
  for (const call of world.traffic.calls()) checkCall(world, ranModels, call);
  for (const excess of world.quotaLog.findExcess(ORGANISATIONS)) {
    world.journal.fail('rate_and_burst', excess);
  }
  for (const organisation of ORGANISATIONS) checkUsage(world, organisation);
  checkConfiguration(world);
  checkIdle(world);
}
