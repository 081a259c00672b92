/** Conditional edits of objects, with recovery from lost requests and responses. */
import { createError, RouterError, sleep } from '@hibiscusbank/core';
import type { ObjectApi, StoredObject } from '@hibiscusbank/object-api';
import type { Result } from 'neverthrow';

/** An edit of one object, based on a version that was read earlier. */
export interface Edit {
  readonly key: string;
  /** New value; `undefined` removes the object. */
  readonly value: unknown;
  /** Version on which the edit is based; 0 when the object was absent. */
  readonly baseVersion: number;
}

export interface EditResult {
  /** Version written; `undefined` after a removal. */
  readonly version: number | undefined;
  /** Whether the response was lost and a read-back showed that the edit took effect. */
  readonly confirmedByReadBack: boolean;
}

export interface EditPorts {
  readonly objectApi: ObjectApi;
  readonly createWriteId: () => string;
}

const MAX_EDIT_ATTEMPTS = 3;
const READ_RETRY_INTERVAL_MS = 500;

async function write(
  objectApi: ObjectApi,
  edit: Edit,
  writeId: string,
): Promise<Result<StoredObject | undefined, RouterError>> {
  const { key, value, baseVersion } = edit;
  if (value === undefined) {
    const removed = await objectApi.remove(key, { ifVersion: baseVersion, writeId });
    return removed.map(() => undefined);
  }
  const condition = baseVersion === 0 ? { ifAbsent: true } : { ifVersion: baseVersion };
  return objectApi.put(key, value, { ...condition, writeId });
}

/** Reads the object after a failed write. Rejects with `platform_unavailable`, effect `unknown`. */
async function readBack(objectApi: ObjectApi, key: string): Promise<StoredObject | undefined> {
  for (let attempt = 1; ; attempt += 1) {
    const read = await objectApi.get(key);
    if (read.isOk()) return read.value;
    if (attempt === MAX_EDIT_ATTEMPTS) {
      throw createError(
        'platform_unavailable',
        `the platform does not respond; whether the edit of ${key} took effect is unknown: ` +
          'repeat the command when the platform is available again; repeating it is safe',
        { cause: read.error, effect: 'unknown' },
      );
    }
    await sleep(READ_RETRY_INTERVAL_MS);
  }
}

function createConflict(edit: Edit, current: number): RouterError {
  const stateWhenRead = edit.baseVersion === 0 ? 'absent' : `at revision ${edit.baseVersion}`;
  const currentState = current === 0 ? 'absent' : `at revision ${current}`;
  return createError(
    'conflict',
    `another operator changed ${edit.key}: it was ${stateWhenRead} when read and is now ${currentState}; ` +
      'look at the change with "get" or "list", then repeat the command',
    { info: { key: edit.key, base: edit.baseVersion, current } },
  );
}

function hasTakenEffect(edit: Edit, writeId: string, current: StoredObject | undefined): boolean {
  return edit.value === undefined ? current === undefined : current?.writeId === writeId;
}

/**
 * Writes if the object is still at the base version. After a failed write the object is read back:
 * the write id shows whether the edit took effect; if it did not, the write is retried. Rejects with
 * `conflict` (both versions in `info`) or `platform_unavailable`.
 */
export async function editObject(ports: EditPorts, edit: Edit): Promise<EditResult> {
  const writeId = ports.createWriteId();
  for (let attempt = 1; attempt <= MAX_EDIT_ATTEMPTS; attempt += 1) {
    const written = await write(ports.objectApi, edit, writeId);
    if (written.isOk()) return { version: written.value?.version, confirmedByReadBack: false };
    const { kind } = written.error;
    if (kind !== 'conflict' && kind !== 'platform_unavailable') throw written.error;
    const current = await readBack(ports.objectApi, edit.key);
    if (hasTakenEffect(edit, writeId, current))
      return { version: current?.version, confirmedByReadBack: true };
    const version = current?.version ?? 0;
    if (version !== edit.baseVersion) throw createConflict(edit, version);
  }
  throw createError(
    'platform_unavailable',
    `the platform does not accept writes; the edit of ${edit.key} has not taken effect so far: ` +
      'repeat the command when the platform is available again',
    { effect: 'unknown' },
  );
}

/** Returns a note for the operator if the edit was confirmed by reading back, else no lines. */
export function describeReadBack(result: EditResult): string[] {
  return result.confirmedByReadBack
    ? ['the response was lost; reading back shows that the edit took effect']
    : [];
}
