/** In-memory HTTP requests and responses of callers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Readable, Writable } from 'node:stream';
import type { Exchange } from '@hibiscusbank/gateway';

export interface CallerRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

export interface ReceivedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly text: string;
  /** False when the connection closed before the end of the response. */
  readonly isComplete: boolean;
}

export interface CallerExchange {
  readonly exchange: Exchange;
  /** Returns the part of the response received so far. */
  readonly received: () => ReceivedResponse;
  /** Closes the connection from the side of the caller. */
  readonly close: () => void;
}

class CallerResponse extends Writable {
  statusCode = 200;

  headersSent = false;

  text = '';

  headers: Record<string, unknown> = {};

  setHeader(name: string, value: unknown): this {
    this.headers[name.toLowerCase()] = value;
    return this;
  }

  getHeader(name: string): unknown {
    return this.headers[name.toLowerCase()];
  }

  writeHead(status: number, headers: Record<string, unknown> = {}): this {
    this.statusCode = status;
    this.headersSent = true;
    for (const [name, value] of Object.entries(headers)) this.setHeader(name, value);
    return this;
  }

  flushHeaders(): void {
    this.headersSent = true;
  }

  // eslint-disable-next-line no-underscore-dangle
  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.headersSent = true;
    this.text += chunk.toString();
    done();
  }
}

/** Creates an exchange; `onEnd` runs once, when the response ends or the connection closes. */
export function createExchange(
  request: CallerRequest,
  onEnd: (response: ReceivedResponse) => void,
): CallerExchange {
  const incoming = Object.assign(
    Readable.from(request.body === '' ? [] : [Buffer.from(request.body)]),
    {
      method: request.method,
      url: request.url,
      headers: { 'content-length': String(Buffer.byteLength(request.body)), ...request.headers },
      complete: true,
    },
  );
  const outgoing = new CallerResponse();
  const received = (): ReceivedResponse => ({
    status: outgoing.statusCode,
    headers: outgoing.headers,
    text: outgoing.text,
    isComplete: outgoing.writableFinished,
  });
  outgoing.on('error', () => {});
  outgoing.on('close', () => onEnd(received()));
  return {
    exchange: {
      incoming: incoming as unknown as IncomingMessage,
      outgoing: outgoing as unknown as ServerResponse,
    },
    received,
    close: () => {
      incoming.destroy();
      outgoing.destroy();
    },
  };
}
