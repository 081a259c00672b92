/** Reads a server-sent event stream of tokens. */
import { createError } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { createParser } from 'eventsource-parser';
import type { Dispatcher } from 'undici';
import { classifyStatus, classifyTransportError } from './failures.js';
import type { TokenEvent } from './types.js';

interface WireToken {
  text: string;
  finish_reason?: 'stop' | 'length';
}

export interface TokenStreamCall {
  readonly address: string;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly headers: Record<string, string>;
  readonly body: string | undefined;
  readonly signal: AbortSignal;
  /** Called before the first token. A returned error aborts the stream and is its result. */
  readonly onHeaders?: (
    headers: Record<string, string | string[] | undefined>,
  ) => RouterError | undefined;
  readonly onTokens: (tokens: readonly TokenEvent[]) => void;
}

const HTTP_OK = 200;

function createTokenParser() {
  let batch: TokenEvent[] = [];
  let finished = false;
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent: (event) => {
      const token = JSON.parse(event.data) as WireToken;
      finished ||= token.finish_reason !== undefined;
      batch.push({
        index: Number(event.id),
        text: token.text,
        ...(token.finish_reason === undefined ? {} : { finishReason: token.finish_reason }),
      });
    },
  });
  return {
    isFinished: () => finished,
    feed: (chunk: Uint8Array): readonly TokenEvent[] => {
      batch = [];
      parser.feed(decoder.decode(chunk, { stream: true }));
      return batch;
    },
  };
}

/**
 * Sends the call and passes tokens to `onTokens` as they arrive. Resolves to `undefined` if the stream
 * ended after an event with a finish reason, otherwise to the error. Uses undici's dispatch interface,
 * which costs less per chunk than a stream.
 */
export function readTokenStream(
  client: Dispatcher,
  call: TokenStreamCall,
): Promise<RouterError | undefined> {
  return new Promise((resolve) => {
    const parser = createTokenParser();
    let failure: RouterError | undefined;
    let abortRequest: ((reason: Error) => void) | undefined;
    const onAbort = (): void => abortRequest?.(new Error('cancelled by the caller'));
    const finish = (error: RouterError | undefined): void => {
      call.signal.removeEventListener('abort', onAbort);
      resolve(error);
    };
    call.signal.addEventListener('abort', onAbort);
    client.dispatch(
      {
        origin: call.address,
        path: call.path,
        method: call.method,
        headers: call.headers,
        body: call.body ?? null,
      },
      {
        onRequestStart: (controller) => {
          abortRequest = (reason) => controller.abort(reason);
          if (call.signal.aborted) onAbort();
        },
        onResponseStart: (controller, status, headers) => {
          failure =
            status === HTTP_OK
              ? call.onHeaders?.(headers)
              : classifyStatus(status, headers, call.address);
          if (failure !== undefined) controller.abort(failure);
        },
        onResponseData: (controller, chunk) => {
          try {
            const tokens = parser.feed(chunk);
            if (tokens.length > 0) call.onTokens(tokens);
          } catch (thrown) {
            failure = createError('upstream_failed', `${call.address} sent a malformed event`, {
              effect: 'unknown',
            });
            controller.abort(thrown as Error);
          }
        },
        onResponseEnd: () => {
          if (parser.isFinished()) {
            finish(undefined);
            return;
          }
          finish(
            createError('upstream_failed', `${call.address} ended a stream early; it is resumed`, {
              effect: 'unknown',
            }),
          );
        },
        onResponseError: (_controller, error) => {
          finish(failure ?? classifyTransportError(error, call.address, call.signal));
        },
      },
    );
  });
}
