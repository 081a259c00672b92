/** Headers of requests to upstreams and of responses to callers. */
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

/** Headers for this router only, which are not forwarded to upstreams. */
const PRIVATE_HEADERS = ['authorization', 'host', 'expect'];

const BEARER_PREFIX = /^Bearer\s+/i;

const ROUTER_HEADER_PREFIX = 'x-hibiscusbank-';

/** Returns the headers without hop-by-hop headers, including those that `Connection` names. */
export function withoutHopByHop(headers: IncomingHttpHeaders): Record<string, string | string[]> {
  const connectionOptions = String(headers.connection ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase());
  const dropped = new Set([...HOP_BY_HOP_HEADERS, ...connectionOptions]);
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !dropped.has(name)) kept[name] = value;
  }
  return kept;
}

/**
 * Returns the headers of an attempt: without the tenant key, and with organisation, request id and
 * attempt number.
 */
export function createUpstreamHeaders(
  headers: IncomingHttpHeaders,
  req: AdmittedRequest,
  attempt: number,
): Record<string, string | string[]> {
  const kept = withoutHopByHop(headers);
  const key = (headers.authorization ?? '').replace(BEARER_PREFIX, '').trim();
  for (const name of PRIVATE_HEADERS) delete kept[name];
  for (const [name, value] of Object.entries(kept)) {
    // Some clients repeat the key in other headers, such as x-api-key.
    const containsKey = key !== '' && String(value).includes(key);
    if (containsKey || name.startsWith(ROUTER_HEADER_PREFIX)) delete kept[name];
  }
  kept['x-request-id'] = req.id;
  kept['x-hibiscusbank-attempt'] = String(attempt);
  if (req.organisation !== undefined) kept['x-hibiscusbank-organisation'] = req.organisation;
  return kept;
}

/** Returns the headers of an upstream's response that are forwarded to the caller. */
export function createCallerHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  return withoutHopByHop(headers);
}
