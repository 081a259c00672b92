/** Checks at the end of a run, after all faults have ended and the recovery period has passed. */
import { checkConfiguration } from './configuration-checks.js';
import { ORGANISATIONS } from './site.js';
import { computeExpectedText, readTokens } from './traffic.js';
import type { Call } from './traffic.js';
import { checkUsage } from './usage-check.js';
import type { Simulation } from './simulation.js';

function checkResponse(simulation: Simulation, call: Call): void {
  const { recorder, traffic } = simulation;
  if (call.kind === 'chat') {
    const receivedText = readTokens(call.text);
    const expectedText = computeExpectedText(call);
    if (receivedText !== expectedText)
      recorder.fail(
        'complete_response',
        `call ${call.id}: got ${receivedText}, expected ${expectedText}`,
      );
    return;
  }
  const authorCall = traffic.find(Number(/^done (\d+)$/.exec(call.text)?.[1]));
  const isExpectedAuthor =
    authorCall === call ||
    (call.kind === 'keyed_booking' &&
      authorCall?.kind === 'keyed_booking' &&
      authorCall.idempotencyKeyIndex === call.idempotencyKeyIndex &&
      authorCall.key.entry.organisation === call.key.entry.organisation);
  if (!isExpectedAuthor) recorder.fail('own_response', `call ${call.id} received ${call.text}`);
}

function checkCall(simulation: Simulation, decodedCalls: ReadonlySet<Call>, call: Call): void {
  const { recorder, work } = simulation;
  if (call.connection !== undefined) {
    recorder.fail('has_outcome', `call ${call.id} (${call.kind}) has no outcome`);
  }
  if (call.state === 'answered') checkResponse(simulation, call);
  if (call.state === 'refused' && call.outcome === undefined && call.kind !== 'chat') {
    recorder.fail('states_outcome', `call ${call.id}: status ${call.status} without outcome`);
  }
  const claimsNotRun = call.outcome === 'not_run' && call.resumes === 0;
  if (claimsNotRun && call.state === 'refused' && (work.hasRun(call) || decodedCalls.has(call))) {
    recorder.fail('not_run_is_true', `call ${call.id} (${call.kind}) ran: ${call.text}`);
  }
}

/** Returns the model calls for which an engine has started a decode. */
function findDecodedCalls(simulation: Simulation): ReadonlySet<Call> {
  const ids = simulation.engines
    .list()
    .flatMap((engine) => Object.keys(engine.core.readRuns()))
    .filter((name) => name.startsWith('decode/'));
  const calls = ids.map((name) => simulation.work.findCall(name.split('/')[1] ?? ''));
  return new Set(calls.filter((call) => call !== undefined));
}

function checkIdle(simulation: Simulation): void {
  const { recorder, engines, fleet } = simulation;
  for (const { entry, core } of engines.list()) {
    const [hold] = core.holds();
    if (hold !== undefined) {
      recorder.fail('no_hold_at_end', `${entry.id} holds ${hold.requestId}/${hold.attempt}`);
    }
  }
  for (const { vm, node } of fleet.running()) {
    for (const cell of node.scheduler.ownedCells()) {
      if (cell.queued > 0 || cell.freeSlots !== cell.slots) {
        const { cell: name, queued, freeSlots, slots } = cell;
        recorder.fail(
          'idle_at_end',
          `${name} at ${vm.id}: ${queued} queued, ${freeSlots} of ${slots} slots free`,
        );
      }
    }
  }
}

export function checkOutcome(simulation: Simulation): void {
  const decodedCalls = findDecodedCalls(simulation);
  for (const call of simulation.traffic.calls()) checkCall(simulation, decodedCalls, call);
  for (const excess of simulation.quotaLog.findExcess(ORGANISATIONS)) {
    simulation.recorder.fail('rate_and_burst', excess);
  }
  for (const organisation of ORGANISATIONS) checkUsage(simulation, organisation);
  checkConfiguration(simulation);
  checkIdle(simulation);
}
