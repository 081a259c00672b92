/** Sends an HTTP request on a pooled connection and reports whether it was sent when it fails. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Socket } from 'node:net';
import { createByteCollector } from '@hibiscusbank/core';
import { buildConnector, Pool } from 'undici';
import type { Dispatcher } from 'undici';

/**
 * Time-out of a connection attempt, which usually takes a few milliseconds. A VM that no longer
 * exists does not answer at all.
 */
const CONNECT_TIMEOUT_MS = 400;
/**
 * Maximum idle time of a connection, unless the upstream announces a shorter one. Connections are
 * reused because a new one costs both sides.
 */
const KEEP_ALIVE_TIMEOUT_MS = 20_000;
/**
 * Time before the announced idle limit from which a connection is no longer used, since upstreams
 * announce the limit rounded to whole seconds.
 */
const KEEP_ALIVE_MARGIN_MS = 700;
/** Idle time before TCP keep-alive probes, which detect connections that hang without a reset. */
const TCP_KEEPALIVE_DELAY_MS = 1_000;

/**
 * Replaces `ECONNRESET`, so that a reset is never taken for the end of a response without a length.
 */
const RESET_CODE = 'ECONNRESET_UPSTREAM';

/** Maximum size of a body that is read into memory; pages of the store have about a megabyte. */
const MAX_BODY_BYTES = 8 * 1_024 * 1_024;
/** Maximum size of all bodies in memory, a part of the memory of a small VM. */
const MAX_BUFFERED_BYTES = 32 * 1_024 * 1_024;

export interface ExchangeCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Buffer | string | undefined;
  readonly signal?: AbortSignal | undefined;
}

export interface ExchangeReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Starts delivery of the body. Resolves to whether the body arrived completely. Call once. */
  read(onData: (chunk: Buffer) => void): Promise<boolean>;
  pause(): void;
  resume(): void;
  /** Closes the connection. */
  abort(): void;
}

export type ExchangeResult =
  | { readonly ok: true; readonly reply: ExchangeReply }
  /** `wasSent`: whether any byte of the request may have left this process. */
  | { readonly ok: false; readonly wasSent: boolean; readonly error: Error };

const baseConnect = buildConnector({
  timeout: CONNECT_TIMEOUT_MS,
  keepAlive: true,
  keepAliveInitialDelay: TCP_KEEPALIVE_DELAY_MS,
});

/**
 * Set while the `end` event of a reset connection is handled; a response that ends in this event is
 * incomplete.
 */
let isResetEnd = false;

/**
 * Detects a reset that is reported as an end of the connection, as happens when it arrives together
 * with data. The socket still has a remote address after a regular close, but none after a reset.
 * The address must not be read earlier, since the runtime caches it.
 */
function detectReset(this: Socket): void {
  if (this.remoteAddress !== undefined) return;
  isResetEnd = true;
  queueMicrotask(() => {
    isResetEnd = false;
  });
}

/**
 * Makes a socket that this process destroys with an error reset its connection. A regular close still
 * delivers bytes that the network holds up, so an aborted request could reach its upstream much later.
 */
function resetOnError(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  let reason: Error | undefined;
  socket.destroy = (error?: NodeJS.ErrnoException) => {
    const isConnectionError = error?.syscall !== undefined;
    if (error === undefined || isConnectionError || reason !== undefined || socket.connecting) {
      return destroy(error ?? reason);
    }
    reason = error;
    return socket.resetAndDestroy();
  };
}

/**
 * Connects, and distinguishes resets from regular ends. Undici takes an `ECONNRESET` after the
 * headers of a response without a length for the end of the response, so that a truncated body
 * would pass as complete.
 */
const connect: buildConnector.connector = (options, callback) => {
  baseConnect(options, (...result: Parameters<typeof callback>) => {
    const [, socket] = result as [Error | null, Socket | null];
    socket?.prependListener('error', (err: NodeJS.ErrnoException) => {
      if (err.code === 'ECONNRESET') err.code = RESET_CODE;
    });
    socket?.prependListener('end', detectReset);
    if (socket) resetOnError(socket);
    callback(...result);
  });
};

/** Creates the connection pool for one upstream. */
export function createConnections(address: string, maxConnections: number): Pool {
  return new Pool(`http://${address}`, {
    connections: maxConnections,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect,
  });
}

interface Delivery {
  listener: ((chunk: Buffer) => void) | undefined;
  buffered: Buffer[];
  outcome: boolean | undefined;
  onOutcome: ((isComplete: boolean) => void) | undefined;
}

function createReply(
  status: number,
  headers: IncomingHttpHeaders,
  delivery: Delivery,
  controller: Dispatcher.DispatchController,
): ExchangeReply {
  return {
    status,
    headers,
    read: (onData) => {
      delivery.listener = onData;
      for (const chunk of delivery.buffered) onData(chunk);
      delivery.buffered = [];
      if (delivery.outcome !== undefined) return Promise.resolve(delivery.outcome);
      return new Promise((resolve) => {
        delivery.onOutcome = resolve;
      });
    },
    pause: () => controller.pause(),
    resume: () => controller.resume(),
    abort: () => controller.abort(new Error('request aborted')),
  };
}

/** Sends a request. Resolves when the response headers have arrived or the exchange failed. */
export function openExchange(connections: Dispatcher, call: ExchangeCall): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    const { signal } = call;
    const delivery: Delivery = {
      listener: undefined,
      buffered: [],
      outcome: undefined,
      onOutcome: undefined,
    };
    let wasSent = false;
    let settled = false;
    let abortError: Error | undefined;
    let requestController: Dispatcher.DispatchController | undefined;

    const finish = (isComplete: boolean): void => {
      delivery.outcome ??= isComplete;
      delivery.onOutcome?.(isComplete);
    };
    const settle = (result: ExchangeResult): void => {
      if (settled) return;
      settled = true;
      resolve(result);
    };
    const onAbort = (): void => {
      abortError = new Error('request aborted');
      requestController?.abort(abortError);
      settle({ ok: false, wasSent, error: abortError });
    };
    const cleanUp = (): void => signal?.removeEventListener('abort', onAbort);
    if (signal?.aborted) {
      settle({ ok: false, wasSent: false, error: new Error('request aborted') });
      return;
    }
    signal?.addEventListener('abort', onAbort, { once: true });

    connections.dispatch(
      {
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body ?? null,
      },
      {
        onRequestStart: (controller) => {
          requestController = controller;
          if (abortError !== undefined) controller.abort(abortError);
          else wasSent = true;
        },
        onResponseStart: (controller, status, headers) => {
          if (status < 200) return;
          settle({ ok: true, reply: createReply(status, headers, delivery, controller) });
        },
        onResponseData: (_, chunk) => {
          if (delivery.listener === undefined) delivery.buffered.push(chunk);
          else delivery.listener(chunk);
        },
        onResponseEnd: () => {
          cleanUp();
          finish(!isResetEnd);
        },
        onResponseError: (_, error) => {
          cleanUp();
          settle({ ok: false, wasSent, error });
          finish(false);
        },
      },
    );
  });
}

/** Memory held by all bodies that are being read at the moment. */
let bufferedBytes = 0;

/**
 * Reads a body into memory. Resolves to `undefined` when the body is incomplete. A body that weighs more
 * than `MAX_BODY_BYTES`, or for which there is no room beside other bodies, may never end; its
 * connection is closed.
 */
export async function readFullBody(
  reply: Pick<ExchangeReply, 'read' | 'abort'>,
): Promise<Buffer | undefined> {
  const body = createByteCollector();
  let isTooLong = false;
  const isComplete = await reply.read((chunk) => {
    if (isTooLong) return;
    const heldBefore = body.capacity();
    body.append(chunk);
    bufferedBytes += body.capacity() - heldBefore;
    isTooLong = body.weight() > MAX_BODY_BYTES || bufferedBytes > MAX_BUFFERED_BYTES;
    if (!isTooLong) return;
    bufferedBytes -= body.capacity();
    body.take();
    reply.abort();
  });
  bufferedBytes -= body.capacity();
  return isComplete && !isTooLong ? body.take() : undefined;
}
