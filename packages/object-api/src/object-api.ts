/** HTTP adapter of the platform's object API. */
import { createError } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import { callJson } from './http.js';
import type { JsonResponse } from './http.js';
import type { ChangeBatch, ObjectApi, ObjectList, StoredObject, WriteOptions } from './types.js';

function writeQuery(options: WriteOptions): string {
  if (options.ifAbsent) return '?ifAbsent=1';
  if (options.ifVersion !== undefined) return `?ifVersion=${options.ifVersion}`;
  return '';
}

function checkWrite(key: string, res: JsonResponse): ResultAsync<JsonResponse, RouterError> {
  if (res.status === 200) return okAsync(res);
  if (res.status === 409) {
    const { version } = res.body as { version: number };
    return errAsync(
      createError('conflict', `${key} is at version ${version}; read it again and retry`, {
        info: { currentVersion: version },
      }),
    );
  }
  return errAsync(
    createError('invalid_request', `the object API refused ${key} with status ${res.status}`),
  );
}

/** Creates the adapter of the object API at a base URL. */
export function createHttpObjectApi(baseUrl: string): ObjectApi {
  const url = (key: string): string => `${baseUrl}/objects/${encodeURIComponent(key)}`;
  return {
    get: (key) =>
      callJson({ method: 'GET', url: url(key) }).map((res) =>
        res.status === 404 ? undefined : (res.body as StoredObject),
      ),
    list: (prefix) =>
      callJson({
        method: 'GET',
        url: `${baseUrl}/objects?prefix=${encodeURIComponent(prefix)}`,
      }).map((res) => res.body as ObjectList),
    put: (key, value, options) =>
      callJson({
        method: 'PUT',
        url: `${url(key)}${writeQuery(options)}`,
        body: { value },
        headers: { 'x-write-id': options.writeId },
      })
        .andThen((res) => checkWrite(key, res))
        .map((res) => res.body as StoredObject),
    remove: (key, options) =>
      callJson({
        method: 'DELETE',
        url: `${url(key)}${writeQuery(options)}`,
        headers: { 'x-write-id': options.writeId },
      })
        .andThen((res) => checkWrite(key, res))
        .map(() => undefined),
    watch: (prefix, after, waitMs, signal) =>
      callJson({
        method: 'GET',
        url: `${baseUrl}/watch?prefix=${encodeURIComponent(prefix)}&after=${after}&waitMs=${waitMs}`,
        waitMs,
        ...(signal === undefined ? {} : { signal }),
      }).andThen((res): ResultAsync<ChangeBatch, RouterError> => {
        if (res.status === 410) {
          return errAsync(createError('history_lost', 'the watch is too far behind; list again'));
        }
        return okAsync(res.body as ChangeBatch);
      }),
  };
}
