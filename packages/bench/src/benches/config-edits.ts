/** Writers that race on configuration objects, as operators' tools do. */
import { randomUUID } from 'node:crypto';
import { configurationKeys, digestKey } from '@hibiscusbank/configuration';
import { sleep } from '@hibiscusbank/core';
import type { KeyDigest, OrganisationId, Random } from '@hibiscusbank/core';
import { putResolved } from '@hibiscusbank/object-api';
import type { ObjectApi } from '@hibiscusbank/object-api';
import type { PoolEntry } from '@hibiscusbank/settings';

const COUNTER_PREFIX = 'rev-';
const COUNTER_WRITERS = 3;
const COUNTER_PAUSE_MS = 600;
const KEY_PAUSE_MS = 500;
const KEY_LIFE_MS = 3_000;
const LIMIT_PAUSE_MS = 400;

/** An accepted edit of the counter. */
export interface CounterEdit {
  readonly value: number;
  /** Monotonic time just before the write that was accepted was sent. */
  readonly atMs: number;
}

export interface IssuedKey {
  readonly key: string;
  readonly issuedAtMs: number;
  /** Monotonic time just before the accepted withdrawal was sent. */
  withdrawnAtMs: number | undefined;
  /** Whether a withdrawal may have taken effect. */
  isClosing: boolean;
}

export interface EditLog {
  readonly counter: CounterEdit[];
  readonly keys: IssuedKey[];
  accepted: number;
  conflicts: number;
  unavailable: number;
  withdrawnOnNode: number;
}

export interface EditOptions {
  readonly objectApi: ObjectApi;
  /** Pool whose model names the counter; `GET /v1/models` shows it. */
  readonly pool: PoolEntry;
  readonly organisation: OrganisationId;
  /** Organisation whose limits change. */
  readonly spare: OrganisationId;
  readonly random: Random;
  readonly signal: AbortSignal;
  /** Withdraws a key through a node, which needs no platform. Whether the node accepted it. */
  readonly withdrawOnNode: (digest: KeyDigest) => Promise<boolean>;
}

/** The counter in the name of a model, or -1. */
export function readCounter(models: readonly string[]): number {
  const found = models.find((model) => model.startsWith(COUNTER_PREFIX));
  return found === undefined ? -1 : Number(found.slice(COUNTER_PREFIX.length));
}

/** The name of the model that shows a value of the counter. */
export const counterName = (value: number): string => `${COUNTER_PREFIX}${value}`;

type Edit = (value: unknown) => unknown;

/** Reads an object and writes its edited value on the version read. Whether it was accepted. */
async function edit(
  options: EditOptions,
  log: EditLog,
  key: string,
  change: Edit,
): Promise<number | undefined> {
  const read = await options.objectApi.get(key);
  if (read.isErr()) {
    log.unavailable += 1;
    return undefined;
  }
  const atMs = performance.now();
  const current = read.value;
  const condition =
    current === undefined ? { ifAbsent: true as const } : { ifVersion: current.version };
  const value = change(current?.value);
  const writeId = randomUUID();
  const written = await putResolved(options.objectApi, key, value, { ...condition, writeId });
  if (written.isOk()) {
    log.accepted += 1;
    return atMs;
  }
  if (written.error.kind === 'conflict') log.conflicts += 1;
  else log.unavailable += 1;
  return undefined;
}

async function writeCounter(options: EditOptions, log: EditLog): Promise<void> {
  let value = 0;
  const atMs = await edit(options, log, configurationKeys.pool(options.pool.id), (current) => {
    const pool = current as PoolEntry;
    value = readCounter([pool.model ?? '']) + 1;
    return { ...pool, model: counterName(value) };
  });
  if (atMs !== undefined) log.counter.push({ value, atMs });
}

async function issueKey(options: EditOptions, log: EditLog): Promise<void> {
  const key = `sk-${randomUUID()}`;
  const digest = digestKey(key);
  const { organisation } = options;
  const issuedAtMs = await edit(options, log, configurationKeys.tenantKey(digest), () => ({
    digest,
    organisation,
    withdrawn: false,
    hint: 'sk-t',
  }));
  if (issuedAtMs === undefined) return;
  log.keys.push({ key, issuedAtMs, withdrawnAtMs: undefined, isClosing: false });
}

async function withdrawOldest(options: EditOptions, log: EditLog): Promise<void> {
  const now = performance.now();
  const due = log.keys.find(
    ({ withdrawnAtMs, issuedAtMs }) =>
      withdrawnAtMs === undefined && now - issuedAtMs > KEY_LIFE_MS,
  );
  if (due === undefined) return;
  due.isClosing = true;
  const digest = digestKey(due.key);
  due.withdrawnAtMs = await edit(options, log, configurationKeys.tenantKey(digest), (current) => ({
    ...(current as object),
    withdrawn: true,
  }));
  if (due.withdrawnAtMs !== undefined) return;
  const atMs = performance.now();
  if (!(await options.withdrawOnNode(digest))) return;
  due.withdrawnAtMs = atMs;
  log.withdrawnOnNode += 1;
}

async function changeLimits(options: EditOptions, log: EditLog): Promise<void> {
  const { spare, random } = options;
  const ratePerS = 1_000 + random.below(1_000);
  await edit(options, log, configurationKeys.organisation(spare), () => ({
    id: spare,
    ratePerS,
    burst: 10_000,
  }));
}

async function repeat(
  { signal, random }: EditOptions,
  pauseMs: number,
  step: () => Promise<void>,
): Promise<void> {
  while (!signal.aborted) {
    await sleep(pauseMs * (0.5 + random.next()), signal);
    if (!signal.aborted) await step();
  }
}

/** Starts all writers; `done` resolves after the abort. */
export function startEdits(options: EditOptions): { log: EditLog; done: Promise<unknown> } {
  const log: EditLog = {
    counter: [],
    keys: [],
    accepted: 0,
    conflicts: 0,
    unavailable: 0,
    withdrawnOnNode: 0,
  };
  const writers = [
    ...Array.from({ length: COUNTER_WRITERS }, () =>
      repeat(options, COUNTER_PAUSE_MS, () => writeCounter(options, log)),
    ),
    repeat(options, KEY_PAUSE_MS, () => issueKey(options, log)),
    repeat(options, KEY_PAUSE_MS, () => withdrawOldest(options, log)),
    repeat(options, LIMIT_PAUSE_MS, () => changeLimits(options, log)),
    repeat(options, LIMIT_PAUSE_MS, () => changeLimits(options, log)),
  ];
  return { log, done: Promise.all(writers) };
}
