/**
 * Ids of what a request has that can end upstreams: the parts of its prompt, which other requests share,
 * and the request itself, which its caller may repeat.
 */
import { hash64, hashBytes64 } from '@hibiscusbank/core';
import type { OrganisationId } from '@hibiscusbank/core';
import { toPartIds } from './part-ids.js';
import type { ServingRequest } from './types.js';

/** Makes the id longer than any id of a part, so that no caller can name a part like a request. */
const REQUEST_PREFIX = 'request-';

/** Whether a suspect is a request and not a part of a prompt. */
export function isRequestId(suspect: string): boolean {
  return suspect.startsWith(REQUEST_PREFIX);
}

/** Returns the id of a request; a repeated one has the same caller, method, host, path, query and body. */
function toRequestId(
  { method, host, path }: ServingRequest,
  organisation: OrganisationId | undefined,
  body: Uint8Array,
): string {
  const fields = [organisation ?? '', method, host, path, hashBytes64(body)];
  return REQUEST_PREFIX + hash64(JSON.stringify(fields));
}

/** Returns the ids of all suspects of a request, the request itself last. */
export function listSuspects(
  req: ServingRequest,
  organisation: OrganisationId | undefined,
  body: Uint8Array,
): readonly string[] {
  return [...toPartIds(req.promptParts), toRequestId(req, organisation, body)];
}
