/** Conditional writes that resolve a lost response by reading the object back. */
import { createError, sleep } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ObjectApi, StoredObject, WriteOptions } from './types.js';

const RETRY_INTERVAL_MS = 200;
const MAX_WRITE_ATTEMPTS = 3;

type WriteResult = Result<StoredObject, RouterError>;

/** Reads the object back. Resolves to `undefined` if that fails or the write has no effect so far. */
async function readBack(
  objectApi: ObjectApi,
  key: string,
  options: WriteOptions,
): Promise<WriteResult | undefined> {
  const read = await objectApi.get(key);
  if (read.isErr()) return undefined;
  const current = read.value;
  if (current?.writeId === options.writeId) return ok(current);
  const version = current?.version ?? 0;
  const expected = options.ifAbsent ? 0 : (options.ifVersion ?? version);
  if (version === expected) return undefined;
  return err(
    createError('conflict', `${key} is at version ${version}; read it again and retry`, {
      info: { currentVersion: version },
    }),
  );
}

async function write(
  objectApi: ObjectApi,
  key: string,
  value: unknown,
  options: WriteOptions,
): Promise<WriteResult> {
  let result: WriteResult = await objectApi.put(key, value, options);
  for (let attempt = 1; attempt <= MAX_WRITE_ATTEMPTS; attempt += 1) {
    if (result.isOk()) return result;
    const { kind } = result.error;
    if (kind !== 'platform_unavailable' && kind !== 'conflict') return result;
    const resolved = await readBack(objectApi, key, options);
    if (resolved !== undefined) return resolved;
    if (kind === 'conflict' || attempt === MAX_WRITE_ATTEMPTS) return result;
    await sleep(RETRY_INTERVAL_MS);
    result = await objectApi.put(key, value, options);
  }
  return result;
}

/**
 * Writes conditionally. When the response is lost, the object is read back and the write recognised by
 * its id. Retries use the same condition and id, so the write takes effect at most once. Errors:
 * `conflict` (another write came first), `platform_unavailable` (the effect is still unknown; another
 * call with the same id resolves it).
 */
export function putResolved(
  objectApi: ObjectApi,
  key: string,
  value: unknown,
  options: WriteOptions & ({ readonly ifVersion: number } | { readonly ifAbsent: true }),
): ResultAsync<StoredObject, RouterError> {
  return new ResultAsync(write(objectApi, key, value, options));
}
