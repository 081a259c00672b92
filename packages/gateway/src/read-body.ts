/** Reads request bodies up to a size limit. */
import type { IncomingMessage } from 'node:http';
import { createByteCollector, createError, toError } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

function tooLarge(limitBytes: number): RouterError {
  return createError('body_too_large', `the body exceeds ${limitBytes} bytes; send less`, {
    effect: 'not_run',
  });
}

/** Returns the size declared in `Content-Length`, or `undefined`. */
export function declaredBytes(incoming: IncomingMessage): number | undefined {
  const header = incoming.headers['content-length'];
  return header === undefined ? undefined : Number(header);
}

/** Reads a whole body. Errors: `body_too_large`, `cancelled`. */
export async function readBody(
  incoming: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, RouterError>> {
  if ((declaredBytes(incoming) ?? 0) > limitBytes) return err(tooLarge(limitBytes));
  const body = createByteCollector();
  try {
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
      body.append(chunk);
      if (body.length() > limitBytes) return err(tooLarge(limitBytes));
    }
  } catch (thrown) {
    return err(
      createError('cancelled', 'the caller disconnected while sending the body', {
        cause: toError(thrown),
        effect: 'not_run',
      }),
    );
  }
  return ok(body.take());
}

/** Aborts a streamed body that exceeds the limit without having declared its size. */
export function limitBody(incoming: IncomingMessage, limitBytes: number): void {
  let size = 0;
  incoming.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > limitBytes) incoming.destroy(tooLarge(limitBytes));
  });
  // Adding the data listener makes the stream flow; it must flow only once a consumer reads it.
  incoming.pause();
}
