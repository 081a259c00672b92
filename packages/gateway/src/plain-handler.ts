/** Handles requests to plain upstreams. */
import type { IncomingMessage } from 'node:http';
import { createError } from '@hibiscusbank/core';
import type { Exchange } from './admission.js';
import { fingerprintRequest } from './claims.js';
import { readIdempotencyKey } from './model-handler.js';
import { declaredBytes, limitBody, readBody } from './read-body.js';
import { serveClaimed } from './serve-claimed.js';
import { servePlainRequest } from './serve-plain.js';
import type { PlainContext } from './serve-plain.js';
import type { AdmittedRequest, HandlerContext } from './types.js';

/** Larger bodies are streamed and can be sent only once. */
const MAX_BUFFERED_BODY_BYTES = 64 * 1024;

function isSmallBody(incoming: IncomingMessage): boolean {
  const isChunked = incoming.headers['transfer-encoding'] !== undefined;
  return !isChunked && (declaredBytes(incoming) ?? 0) <= MAX_BUFFERED_BODY_BYTES;
}

async function serve(context: HandlerContext, plain: PlainContext): Promise<void> {
  const { req, incoming, outgoing, body } = plain;
  const idempotencyKey = readIdempotencyKey(incoming);
  if (req.route.idempotent || idempotencyKey === undefined) {
    await servePlainRequest(plain);
    return;
  }
  const fingerprint = fingerprintRequest(
    incoming.method ?? 'GET',
    incoming.url ?? '/',
    body ?? Buffer.alloc(0),
  );
  const claim = { organisation: req.organisation, idempotencyKey, requestId: req.id, fingerprint };
  const served = await serveClaimed(context.claims, claim, outgoing, () =>
    servePlainRequest({ ...plain, storesAnswer: true }),
  );
  if (served.isErr()) context.sendError({ incoming, outgoing }, served.error);
}

async function readAndServe(
  context: HandlerContext,
  exchange: Exchange,
  req: AdmittedRequest,
): Promise<void> {
  const { incoming, outgoing } = exchange;
  const { options, budget } = context;
  const body = isSmallBody(incoming)
    ? await readBody(incoming, MAX_BUFFERED_BODY_BYTES)
    : undefined;
  if (body?.isErr()) {
    context.sendError(exchange, body.error);
    return;
  }
  if (body === undefined) limitBody(incoming, options.limits.maxBodyBytes);
  await serve(context, {
    options,
    req,
    incoming,
    outgoing,
    body: body?.isOk() ? body.value : undefined,
    budget,
    latencyWindow: context.latencyWindowOf(req.route.pool),
    storesAnswer: false,
  });
}

/** Handles one exchange until its response ends. */
export async function handlePlainRequest(
  context: HandlerContext,
  exchange: Exchange,
  path: string,
): Promise<void> {
  const { admission, options } = context;
  const { maxBodyBytes } = options.limits;
  const authorised = admission.authorise(exchange, { path, model: undefined });
  if (authorised.isErr()) {
    context.sendError(exchange, authorised.error);
    return;
  }
  if ((declaredBytes(exchange.incoming) ?? 0) > maxBodyBytes) {
    context.sendError(
      exchange,
      createError('body_too_large', `the body exceeds ${maxBodyBytes} bytes; send less`),
    );
    return;
  }
  const started = admission.admit(exchange, authorised.value);
  try {
    await readAndServe(context, exchange, started.req);
  } finally {
    started.finish();
  }
}
