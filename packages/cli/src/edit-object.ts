/** Conditional edits of objects, which survive a lost response. */
import { createError, RouterError, sleep } from '@hibiscusbank/core';
import type { ObjectApi, StoredObject } from '@hibiscusbank/object-api';
import type { Result } from 'neverthrow';

/** An edit of one object that was read before. */
export interface Edit {
  readonly key: string;
  /** New value; `undefined` removes the object. */
  readonly value: unknown;
  /** Version on which the edit is based; 0 when the object was absent. */
  readonly base: number;
}

export interface EditResult {
  /** Version written; `undefined` after a removal. */
  readonly version: number | undefined;
  /** Whether a response was lost and the edit was recognised by reading back. */
  readonly wasReadBack: boolean;
}

export interface EditPorts {
  readonly objectApi: ObjectApi;
  readonly createWriteId: () => string;
}

const MAX_ATTEMPTS = 3;
const READ_PAUSE_MS = 500;

async function write(
  objectApi: ObjectApi,
  edit: Edit,
  writeId: string,
): Promise<Result<StoredObject | undefined, RouterError>> {
  const { key, value, base } = edit;
  if (value === undefined) {
    const removed = await objectApi.remove(key, { ifVersion: base, writeId });
    return removed.map(() => undefined);
  }
  const condition = base === 0 ? { ifAbsent: true } : { ifVersion: base };
  return objectApi.put(key, value, { ...condition, writeId });
}

/** Reads the object after a failed write. Errors: `platform_unavailable`, effect unknown. */
async function readBack(objectApi: ObjectApi, key: string): Promise<StoredObject | undefined> {
  for (let attempt = 1; ; attempt += 1) {
    const read = await objectApi.get(key);
    if (read.isOk()) return read.value;
    if (attempt === MAX_ATTEMPTS) {
      throw createError(
        'platform_unavailable',
        `the platform does not answer; whether the edit of ${key} took effect is unknown: ` +
          'repeat the command when the platform is back, a repeat is safe',
        { cause: read.error, effect: 'unknown' },
      );
    }
    await sleep(READ_PAUSE_MS);
  }
}

function createConflict(edit: Edit, current: number): RouterError {
  const was = edit.base === 0 ? 'absent' : `at revision ${edit.base}`;
  const is = current === 0 ? 'absent' : `at revision ${current}`;
  return createError(
    'conflict',
    `another operator changed ${edit.key}: it was ${was} when read and is now ${is}; ` +
      'look at the change with "get" or "list", then repeat the command',
    { info: { key: edit.key, base: edit.base, current } },
  );
}

function isOwn(edit: Edit, writeId: string, current: StoredObject | undefined): boolean {
  return edit.value === undefined ? current === undefined : current?.writeId === writeId;
}

/**
 * Writes if the object is still at the base version. After a failure the object is read back: an
 * edit that took effect is recognised by its write id, one that did not is sent again. Rejects with
 * `conflict` (both versions in `info`) or `platform_unavailable`.
 */
export async function editObject(ports: EditPorts, edit: Edit): Promise<EditResult> {
  const writeId = ports.createWriteId();
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    const written = await write(ports.objectApi, edit, writeId);
    if (written.isOk()) return { version: written.value?.version, wasReadBack: false };
    const { kind } = written.error;
    if (kind !== 'conflict' && kind !== 'platform_unavailable') throw written.error;
    const current = await readBack(ports.objectApi, edit.key);
    if (isOwn(edit, writeId, current)) return { version: current?.version, wasReadBack: true };
    const version = current?.version ?? 0;
    if (version !== edit.base) throw createConflict(edit, version);
  }
  throw createError(
    'platform_unavailable',
    `the platform refuses writes; the edit of ${edit.key} has not taken effect so far: ` +
      'repeat the command when the platform is back',
    { effect: 'unknown' },
  );
}

/** Note for the operator about an edit that was recognised by reading back. */
export function describeReadBack(result: EditResult): string[] {
  return result.wasReadBack
    ? ['the response was lost; reading back shows that the edit took effect']
    : [];
}
