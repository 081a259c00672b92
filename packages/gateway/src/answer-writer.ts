/** Writes a model's answer to the caller, as server-sent events or as one JSON body. */
import type { ServerResponse } from 'node:http';
import type { Effect, Invariants, RequestId, RouterError, UpstreamId } from '@hibiscusbank/core';
import type { TokenEvent } from '@hibiscusbank/engines';
import { formatError, OUTCOME_HEADER } from './error-response.js';
import type { ApiForm } from './model-request.js';

const MS_PER_S = 1_000;

export interface AnswerWriter {
  /** Returns whether any part of a streamed answer has been sent. */
  hasStarted(): boolean;
  writeTokens(tokens: readonly TokenEvent[], engine: UpstreamId): void;
  /** Ends a complete answer. `promptTokens` is counted after the writer is created. */
  finish(promptTokens: number): void;
  /** Ends with an error: an HTTP error response, or an error event once a stream has started. */
  fail(error: RouterError, effect: Effect): void;
}

export interface AnswerOptions {
  readonly res: ServerResponse;
  readonly requestId: RequestId;
  readonly form: ApiForm;
  readonly model: string;
  readonly invariants: Invariants;
  /** Additional headers of a streamed answer. */
  readonly headers?: Readonly<Record<string, string>>;
}

const objectNames = {
  chat: { whole: 'chat.completion', chunk: 'chat.completion.chunk' },
  completion: { whole: 'text_completion', chunk: 'text_completion' },
} as const;

function createEndOnce({ res, requestId, invariants }: AnswerOptions) {
  let ended = false;
  return (body: string): void => {
    invariants.check(!ended, 'answered_once', () => `request ${requestId} was answered twice`);
    if (ended) return;
    ended = true;
    res.end(body);
  };
}

/** Creates the writer of a streamed answer. */
export function createStreamWriter(options: AnswerOptions): AnswerWriter {
  const { res, requestId, form, model } = options;
  const end = createEndOnce(options);
  const created = Math.floor(Date.now() / MS_PER_S);
  const chunkHead = JSON.stringify({
    id: requestId,
    object: objectNames[form].chunk,
    created,
    model,
  }).slice(0, -1);
  const textPrefix =
    form === 'chat'
      ? `${chunkHead},"choices":[{"index":0,"delta":{"content":`
      : `${chunkHead},"choices":[{"index":0,"text":`;
  const textSuffix = form === 'chat' ? '},"finish_reason":' : ',"finish_reason":';

  const writeHeadOnce = (): void => {
    if (res.headersSent) return;
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-request-id': requestId,
      [OUTCOME_HEADER]: 'answered',
      ...options.headers,
    });
  };

  return {
    hasStarted: () => res.headersSent,
    writeTokens: (tokens, engine) => {
      writeHeadOnce();
      let text = '';
      for (const token of tokens) {
        const reason = token.finishReason === undefined ? 'null' : `"${token.finishReason}"`;
        text += `id: ${requestId}.${engine}.${token.index}\ndata: ${textPrefix}${JSON.stringify(token.text)}${textSuffix}${reason}}]}\n\n`;
      }
      res.write(text);
    },
    finish: () => {
      writeHeadOnce();
      end('data: [DONE]\n\n');
    },
    fail: (error, effect) => {
      const formatted = formatError(error, effect);
      if (!res.headersSent) {
        res.writeHead(formatted.status, { ...formatted.headers, 'x-request-id': requestId });
        end(formatted.body);
        return;
      }
      end(`event: error\ndata: ${formatted.body}\n\n`);
    },
  };
}

/** Creates the writer of an answer in one JSON body. */
export function createJsonWriter(options: AnswerOptions): AnswerWriter {
  const { res, requestId, form, model } = options;
  const end = createEndOnce(options);
  let text = '';
  let tokenCount = 0;
  let finishReason = 'stop';
  return {
    hasStarted: () => false,
    writeTokens: (tokens) => {
      for (const token of tokens) {
        text += token.text;
        if (token.text !== '') tokenCount += 1;
        finishReason = token.finishReason ?? finishReason;
      }
    },
    finish: (promptTokens) => {
      const choice =
        form === 'chat'
          ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: finishReason }
          : { index: 0, text, finish_reason: finishReason };
      res.writeHead(200, {
        'content-type': 'application/json',
        'x-request-id': requestId,
        [OUTCOME_HEADER]: 'answered',
      });
      end(
        JSON.stringify({
          id: requestId,
          object: objectNames[form].whole,
          created: Math.floor(Date.now() / MS_PER_S),
          model,
          choices: [choice],
          usage: {
            prompt_tokens: promptTokens,
            completion_tokens: tokenCount,
            total_tokens: promptTokens + tokenCount,
          },
        }),
      );
    },
    fail: (error, effect) => {
      const formatted = formatError(error, effect);
      res.writeHead(formatted.status, { ...formatted.headers, 'x-request-id': requestId });
      end(formatted.body);
    },
  };
}
