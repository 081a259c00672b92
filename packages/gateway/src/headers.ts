/** Headers towards upstreams and callers. */
import type { IncomingHttpHeaders } from 'node:http';
import type { AdmittedRequest } from './types.js';

const HOP_BY_HOP_HEADERS = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];

/** Headers between the caller and this router only. */
const PRIVATE_HEADERS = ['authorization', 'host', 'expect'];

const BEARER_PREFIX = /^Bearer\s+/i;

const ROUTER_HEADER_PREFIX = 'x-hibiscusbank-';

/** Drops hop-by-hop headers, among them those that `Connection` names. */
export function withoutHopByHop(headers: IncomingHttpHeaders): Record<string, string | string[]> {
  const named = String(headers.connection ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase());
  const dropped = new Set([...HOP_BY_HOP_HEADERS, ...named]);
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !dropped.has(name)) kept[name] = value;
  }
  return kept;
}

/** Headers of an attempt: no key, but organisation, request id and attempt. */
export function createUpstreamHeaders(
  headers: IncomingHttpHeaders,
  req: AdmittedRequest,
  attempt: number,
): Record<string, string | string[]> {
  const kept = withoutHopByHop(headers);
  const key = (headers.authorization ?? '').replace(BEARER_PREFIX, '').trim();
  for (const name of PRIVATE_HEADERS) delete kept[name];
  for (const [name, value] of Object.entries(kept)) {
    // Some clients repeat the key in headers of their own, such as x-api-key.
    const carriesKey = key !== '' && String(value).includes(key);
    if (carriesKey || name.startsWith(ROUTER_HEADER_PREFIX)) delete kept[name];
  }
  kept['x-request-id'] = req.id;
  kept['x-hibiscusbank-attempt'] = String(attempt);
  if (req.organisation !== undefined) kept['x-hibiscusbank-organisation'] = req.organisation;
  return kept;
}

/** Headers of an upstream's response as the caller gets them. */
export function createCallerHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  return withoutHopByHop(headers);
}
