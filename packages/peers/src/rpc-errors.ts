/** Converts between typed errors and JSON-RPC error responses. */
import { createError, toError, toRouterError } from '@hibiscusbank/core';
import type { Effect, ErrorKind, RouterError, VmId } from '@hibiscusbank/core';
import { JSONRPCErrorException } from 'json-rpc-2.0';

const APPLICATION_ERROR_CODE = -32000;
const METHOD_NOT_FOUND_CODE = -32601;

interface ErrorData {
  kind: ErrorKind;
  retryAfterMs?: number;
  effect?: Effect;
}

/** Converts a value thrown by a handler into an error response. */
export function encodeError(thrown: unknown): JSONRPCErrorException {
  const error = toRouterError(thrown);
  const data: ErrorData = { kind: error.kind };
  if (error.retryAfterMs !== undefined) data.retryAfterMs = error.retryAfterMs;
  if (error.effect !== undefined) data.effect = error.effect;
  return new JSONRPCErrorException(error.message, APPLICATION_ERROR_CODE, data);
}

/** Converts the error of a failed call into the remote handler's typed error or a network error. */
export function decodeError(thrown: unknown, to: VmId): RouterError {
  if (thrown instanceof JSONRPCErrorException && thrown.data !== undefined) {
    const { kind, ...options } = thrown.data as ErrorData;
    return createError(kind, thrown.message, options);
  }
  const cause = toError(thrown);
  if (thrown instanceof JSONRPCErrorException && thrown.code === METHOD_NOT_FOUND_CODE) {
    return createError('invalid_request', `VM ${to} does not know this method; update it`, {
      cause,
    });
  }
  const kind = cause.message === 'Request timeout' ? 'timeout' : 'peer_unavailable';
  return createError(kind, `no answer from VM ${to}; it may be down`, { cause });
}
