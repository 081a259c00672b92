/** Handles requests to the model paths of the OpenAI API. */
import type { IncomingMessage } from 'node:http';
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RouterError } from '@hibiscusbank/core';
import type { Exchange, StartedRequest } from './admission.js';
import { createJsonWriter, createStreamWriter } from './answer-writer.js';
import { fingerprintRequest } from './claims.js';
import type { ModelContext } from './model-attempt.js';
import { parseModelRequest } from './model-request.js';
import type { ApiForm, ModelRequest } from './model-request.js';
import { readBody } from './read-body.js';
import { parseEventId, serveResumedStream } from './resume-stream.js';
import type { StreamPosition } from './resume-stream.js';
import { serveClaimed } from './serve-claimed.js';
import { serveModelRequest } from './serve-model.js';
import type { HandlerContext } from './types.js';

function readStreamPosition(
  incoming: IncomingMessage,
): Result<StreamPosition | undefined, RouterError> {
  const header = incoming.headers['last-event-id'];
  return header === undefined ? ok(undefined) : parseEventId(String(header));
}

/** Returns the `Idempotency-Key` header, or the first one if it was sent several times. */
export function readIdempotencyKey(incoming: IncomingMessage): string | undefined {
  const header = incoming.headers['idempotency-key'];
  return Array.isArray(header) ? header[0] : header;
}

function createContext(
  context: HandlerContext,
  exchange: Exchange,
  { req }: StartedRequest,
  modelRequest: ModelRequest,
): ModelContext {
  const { options } = context;
  const createWriter = modelRequest.stream ? createStreamWriter : createJsonWriter;
  return {
    options,
    req,
    modelRequest,
    maxTokens: modelRequest.maxTokens ?? req.route.maxTokensDefault,
    writer: createWriter({
      res: exchange.outgoing,
      requestId: req.id,
      form: modelRequest.form,
      model: modelRequest.model,
      invariants: options.telemetry.invariants,
    }),
    progress: { text: '', nextIndex: 0, finished: false },
  };
}

async function serve(
  context: HandlerContext,
  exchange: Exchange,
  modelContext: ModelContext,
  body: Buffer,
): Promise<void> {
  const { req } = modelContext;
  const idempotencyKey = readIdempotencyKey(exchange.incoming);
  if (req.route.idempotent || idempotencyKey === undefined) {
    await serveModelRequest(modelContext, context.budget);
    return;
  }
  const claim = {
    organisation: req.organisation,
    idempotencyKey,
    requestId: req.id,
    fingerprint: fingerprintRequest('POST', exchange.incoming.url ?? '', body),
  };
  const served = await serveClaimed(context.claims, claim, exchange.outgoing, async () => ({
    failure: await serveModelRequest(modelContext, context.budget),
    answer: undefined,
  }));
  if (served.isErr()) context.sendError(exchange, served.error);
}

/** Handles one exchange until its response ends. */
export async function handleModelRequest(
  context: HandlerContext,
  exchange: Exchange,
  path: string,
  form: ApiForm,
): Promise<void> {
  const { admission, options } = context;
  const identified = admission.checkKey(exchange, path);
  if (identified.isErr()) {
    context.sendError(exchange, identified.error);
    return;
  }
  const body = await readBody(exchange.incoming, options.limits.maxBodyBytes);
  const checked = body.andThen((bytes) =>
    parseModelRequest(form, bytes).andThen((modelRequest) =>
      readStreamPosition(exchange.incoming).andThen((position) =>
        admission
          .authorise(exchange, { path, model: modelRequest.model })
          .map((authorisedRoute) => ({ bytes, modelRequest, position, authorisedRoute })),
      ),
    ),
  );
  if (checked.isErr()) {
    context.sendError(exchange, checked.error);
    return;
  }
  const { bytes, modelRequest, position, authorisedRoute } = checked.value;
  const started = admission.admit(exchange, authorisedRoute, position?.requestId);
  const modelContext = createContext(context, exchange, started, modelRequest);
  try {
    if (position === undefined) await serve(context, exchange, modelContext, bytes);
    else await serveResumedStream(modelContext, context.budget, position);
  } finally {
    started.finish();
  }
}
