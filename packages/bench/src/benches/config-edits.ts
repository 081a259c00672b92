/** Runs concurrent writers of configuration objects, which emulate the tools of several operators. */
import { randomUUID } from 'node:crypto';
import { configurationKeys, digestKey } from '@hibiscusbank/configuration';
import { sleep } from '@hibiscusbank/core';
import type { KeyDigest, OrganisationId, Random } from '@hibiscusbank/core';
import { putResolved } from '@hibiscusbank/object-api';
import type { ObjectApi } from '@hibiscusbank/object-api';
import type { PoolEntry } from '@hibiscusbank/settings';

const COUNTER_PREFIX = 'rev-';
const COUNTER_WRITERS = 3;
const COUNTER_EDIT_INTERVAL_MS = 600;
const KEY_EDIT_INTERVAL_MS = 500;
const MIN_KEY_AGE_MS = 3_000;
const LIMIT_EDIT_INTERVAL_MS = 400;

/** An accepted increment of the counter. */
export interface CounterEdit {
  readonly value: number;
  /** Monotonic time just before the accepted write was sent. */
  readonly atMs: number;
}

export interface IssuedKey {
  readonly key: string;
  readonly issuedAtMs: number;
  /** Monotonic time just before the accepted withdrawal was sent. */
  withdrawnAtMs: number | undefined;
  /** Whether a withdrawal was attempted, so that it may have taken effect. */
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
  /** Pool whose model name contains the counter, so that `GET /v1/models` returns it. */
  readonly pool: PoolEntry;
  readonly organisation: OrganisationId;
  /** Organisation whose limits change. */
  readonly limitsOrganisation: OrganisationId;
  readonly random: Random;
  readonly signal: AbortSignal;
  /**
   * Withdraws a key through a node, which works without the platform. Resolves with whether the
   * node accepted the withdrawal.
   */
  readonly withdrawOnNode: (digest: KeyDigest) => Promise<boolean>;
}

/** Returns the counter in the names of models, or -1 if there is none. */
export function parseCounter(models: readonly string[]): number {
  const found = models.find((model) => model.startsWith(COUNTER_PREFIX));
  return found === undefined ? -1 : Number(found.slice(COUNTER_PREFIX.length));
}

/** Returns the model name that contains a value of the counter. */
export const formatCounterModel = (value: number): string => `${COUNTER_PREFIX}${value}`;

type Edit = (value: unknown) => unknown;

/**
 * Reads an object and writes its edited value on condition that the version read is still current.
 * Resolves with the time just before the write, or `undefined` when the write was not accepted.
 */
async function editObject(
  options: EditOptions,
  log: EditLog,
  key: string,
  applyEdit: Edit,
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
  const value = applyEdit(current?.value);
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
  const atMs = await editObject(
    options,
    log,
    configurationKeys.pool(options.pool.id),
    (current) => {
      const pool = current as PoolEntry;
      value = parseCounter([pool.model ?? '']) + 1;
      return { ...pool, model: formatCounterModel(value) };
    },
  );
  if (atMs !== undefined) log.counter.push({ value, atMs });
}

async function issueKey(options: EditOptions, log: EditLog): Promise<void> {
  const key = `sk-${randomUUID()}`;
  const digest = digestKey(key);
  const { organisation } = options;
  const issuedAtMs = await editObject(options, log, configurationKeys.tenantKey(digest), () => ({
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
  const issuedKey = log.keys.find(
    ({ withdrawnAtMs, issuedAtMs }) =>
      withdrawnAtMs === undefined && now - issuedAtMs > MIN_KEY_AGE_MS,
  );
  if (issuedKey === undefined) return;
  issuedKey.isClosing = true;
  const digest = digestKey(issuedKey.key);
  issuedKey.withdrawnAtMs = await editObject(
    options,
    log,
    configurationKeys.tenantKey(digest),
    (current) => ({
      ...(current as object),
      withdrawn: true,
    }),
  );
  if (issuedKey.withdrawnAtMs !== undefined) return;
  const atMs = performance.now();
  if (!(await options.withdrawOnNode(digest))) return;
  issuedKey.withdrawnAtMs = atMs;
  log.withdrawnOnNode += 1;
}

async function changeLimits(options: EditOptions, log: EditLog): Promise<void> {
  const { limitsOrganisation, random } = options;
  const ratePerS = 1_000 + random.nextInt(1_000);
  await editObject(options, log, configurationKeys.organisation(limitsOrganisation), () => ({
    id: limitsOrganisation,
    ratePerS,
    burst: 10_000,
  }));
}

async function repeatWithJitter(
  { signal, random }: EditOptions,
  intervalMs: number,
  step: () => Promise<void>,
): Promise<void> {
  while (!signal.aborted) {
    await sleep(intervalMs * (0.5 + random.next()), signal);
    if (!signal.aborted) await step();
  }
}

/** Starts all writers. `done` resolves when all have ended after `options.signal` aborts. */
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
      repeatWithJitter(options, COUNTER_EDIT_INTERVAL_MS, () => writeCounter(options, log)),
    ),
    repeatWithJitter(options, KEY_EDIT_INTERVAL_MS, () => issueKey(options, log)),
    repeatWithJitter(options, KEY_EDIT_INTERVAL_MS, () => withdrawOldest(options, log)),
    repeatWithJitter(options, LIMIT_EDIT_INTERVAL_MS, () => changeLimits(options, log)),
    repeatWithJitter(options, LIMIT_EDIT_INTERVAL_MS, () => changeLimits(options, log)),
  ];
  return { log, done: Promise.all(writers) };
}
