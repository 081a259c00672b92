/** Streams of generated tokens: their events, readers and resumption. */
import { tokenText } from './answer-text.js';
import type { AttemptRef } from './types.js';

/** Receives the events of a stream. */
export interface StreamReader {
  write(text: string): void;
  end(): void;
  /** Breaks the connection. */
  disconnect(): void;
}

export interface StreamPlan extends AttemptRef {
  readonly organisation: string | undefined;
  readonly tag: string;
  /** Index of the first token in the answer's text. */
  readonly textIndex: number;
  /** Event id of the first token. */
  readonly startIndex: number;
  readonly count: number;
  readonly finishReason: 'stop' | 'length';
}

export interface Stream extends StreamPlan {
  produced: number;
  readonly readers: Set<StreamReader>;
}

/** Creates a stream without tokens. */
export function createStream(plan: StreamPlan): Stream {
  return { ...plan, produced: 0, readers: new Set() };
}

export function isFinished(stream: Stream): boolean {
  return stream.produced >= stream.count;
}

/** Formats the event of the n-th token of a stream, counted from 0. */
export function formatEvent(stream: Stream, n: number): string {
  const end = n === stream.count - 1 ? `,"finish_reason":"${stream.finishReason}"` : '';
  const text = tokenText(stream.tag, stream.textIndex + n);
  return `id: ${stream.startIndex + n}\ndata: {"text":"${text}"${end}}\n\n`;
}

/** Produces one token and writes it to every reader. */
export function produceToken(stream: Stream): void {
  if (stream.readers.size > 0) {
    const event = formatEvent(stream, stream.produced);
    for (const reader of stream.readers) reader.write(event);
  }
  stream.produced += 1;
  if (!isFinished(stream)) return;
  for (const reader of stream.readers) reader.end();
  stream.readers.clear();
}

/** Adds a reader and first sends it the events after `lastIndex` that exist already. */
export function addReader(stream: Stream, reader: StreamReader, lastIndex: number): void {
  const first = Math.max(0, lastIndex + 1 - stream.startIndex);
  let backlog = '';
  for (let n = first; n < stream.produced; n += 1) backlog += formatEvent(stream, n);
  if (backlog !== '') reader.write(backlog);
  if (isFinished(stream)) reader.end();
  else stream.readers.add(reader);
}

/** Breaks the connections of all readers. */
export function disconnectReaders(stream: Stream): void {
  for (const reader of stream.readers) reader.disconnect();
  stream.readers.clear();
}
