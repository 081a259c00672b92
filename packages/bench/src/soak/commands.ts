/** Defines the commands of a run and their fast-check generators. */
import fc from 'fast-check';

const WEIGHTS = {
  chat: 30,
  plan: 12,
  booking: 8,
  keyed_booking: 8,
  burst: 5,
  cancel: 5,
  crash: 3,
  restart: 4,
  pause: 2,
  drain_node: 1,
  partition: 2,
  cut_from_platform: 2,
  outage: 2,
  lose_answers: 3,
  heal: 4,
  withdraw_at_platform: 1,
  withdraw_at_node: 1,
  drain_data_centre: 2,
  drain_upstream: 2,
  drain_vm: 1,
  end_drains: 4,
  turn_cold: 3,
  kill_engine: 3,
  revive_engines: 3,
  freeze_engine: 1,
  stall_transfers: 2,
  engine_dies_later: 2,
  refuse_connections: 2,
  cut_upstream: 3,
  clear_faults: 3,
  edit_tables: 2,
} as const;

export type CommandKind = keyof typeof WEIGHTS;

export interface Command {
  readonly kind: CommandKind;
  /** Simulated time between the previous command and this one. */
  readonly delayMs: number;
  /** Random numbers that select the parameters of the command, reduced modulo the number of options. */
  readonly choiceA: number;
  readonly choiceB: number;
}

const MAX_CHOICE = 5_039;
const MAX_SHORT_DELAY_MS = 300;
const MAX_LONG_DELAY_MS = 6_000;

const kinds = fc.oneof(
  ...Object.entries(WEIGHTS).map(([kind, weight]) => ({
    arbitrary: fc.constant(kind as CommandKind),
    weight,
  })),
);

const delays = fc.oneof(
  { arbitrary: fc.nat(MAX_SHORT_DELAY_MS), weight: 8 },
  { arbitrary: fc.nat(MAX_LONG_DELAY_MS), weight: 1 },
);

const command: fc.Arbitrary<Command> = fc.record({
  kind: kinds,
  delayMs: delays,
  choiceA: fc.nat(MAX_CHOICE),
  choiceB: fc.nat(MAX_CHOICE),
});

/** Generates lists of `minLength` to `maxLength` commands. */
export function generateCommands(minLength: number, maxLength: number): fc.Arbitrary<Command[]> {
  return fc.array(command, { minLength, maxLength, size: 'max' });
}

/** Formats a command as one line of a failure report. */
export function formatCommand({ kind, delayMs, choiceA, choiceB }: Command): string {
  return `+${delayMs} ms ${kind} ${choiceA} ${choiceB}`;
}
