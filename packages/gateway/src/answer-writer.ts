/** Writes a model's answer to the caller, as a stream of events or as one JSON body. */
import type { ServerResponse } from 'node:http';
import type { Effect, Invariants, RequestId, RouterError, UpstreamId } from '@hibiscusbank/core';
import type { TokenEvent } from '@hibiscusbank/engines';
import { formatError, OUTCOME_HEADER } from './error-response.js';
import type { ApiForm } from './model-request.js';

const MS_PER_S = 1_000;

export interface AnswerWriter {
  /** Whether the caller has received any byte of the answer. */
  hasStarted(): boolean;
  writeTokens(tokens: readonly TokenEvent[], engine: UpstreamId): void;
  /** Ends a whole answer. */
  finish(promptTokens: number): void;
  /** Ends with an error: a status before the first byte, an error event after it. */
  fail(error: RouterError, effect: Effect): void;
}

export interface AnswerOptions {
  readonly res: ServerResponse;
  readonly requestId: RequestId;
  readonly form: ApiForm;
  readonly model: string;
  readonly invariants: Invariants;
  /** Prompt tokens are known late; they are given to `finish`. */
  readonly headers?: Readonly<Record<string, string>>;
}

const objectNames = {
  chat: { whole: 'chat.completion', chunk: 'chat.completion.chunk' },
  completion: { whole: 'text_completion', chunk: 'text_completion' },
} as const;

function createAnswerEnd({ res, requestId, invariants }: AnswerOptions) {
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
  const end = createAnswerEnd(options);
  const created = Math.floor(Date.now() / MS_PER_S);
  const head = JSON.stringify({
    id: requestId,
    object: objectNames[form].chunk,
    created,
    model,
  }).slice(0, -1);
  const open =
    form === 'chat'
      ? `${head},"choices":[{"index":0,"delta":{"content":`
      : `${head},"choices":[{"index":0,"text":`;
  const middle = form === 'chat' ? '},"finish_reason":' : ',"finish_reason":';

  const start = (): void => {
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
      start();
      let text = '';
      for (const token of tokens) {
        const reason = token.finishReason === undefined ? 'null' : `"${token.finishReason}"`;
        text += `id: ${requestId}.${engine}.${token.index}\ndata: ${open}${JSON.stringify(token.text)}${middle}${reason}}]}\n\n`;
      }
      res.write(text);
    },
    finish: () => {
      start();
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
  const end = createAnswerEnd(options);
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
