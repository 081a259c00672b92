/**
 * Cost of bytes without end by the size of their chunks: as a body that is read whole, and as an event of
 * a stream. Both end at the limits of a node, so the work of one faulty response is bounded.
 */
import { once } from 'node:events';
import { createHistogram, performance } from 'node:perf_hooks';
import { Worker } from 'node:worker_threads';
import {
  createConnections,
  createEventSplitter,
  openExchange,
  readFullBody,
} from '@hibiscusbank/serving';
import type { ExchangeReply } from '@hibiscusbank/serving';
import type { ChunkSourceData } from '../harness/chunk-source.js';
import type { Bench } from '../types.js';

const CHUNK_SIZES = [1, 16, 65_536];
const REPETITIONS = 20;
/** Work of one response from which callers of others would notice it. */
const MAX_RESPONSE_MS = 500;
const NS_PER_MS = 1_000_000;

type Reader = (reply: ExchangeReply) => Promise<unknown>;

function readAsEvents(reply: ExchangeReply): Promise<boolean> {
  const splitter = createEventSplitter();
  return reply.read((chunk) => {
    splitter.push(chunk);
    if (splitter.isEventTooLong()) reply.abort();
  });
}

const readers: Readonly<Record<string, Reader>> = { body: readFullBody, event: readAsEvents };

/** Reads one response to its limit. Resolves to its bytes and processor time. */
async function measure(port: number, reader: Reader): Promise<{ bytes: number; ms: number }> {
  const connections = createConnections(`127.0.0.1:${port}`, 1);
  const result = await openExchange(connections, { method: 'GET', path: '/', headers: {} });
  if (!result.ok) throw result.error;
  const { reply } = result;
  let bytes = 0;
  const before = performance.now();
  await reader({
    ...reply,
    read: (onData) =>
      reply.read((chunk) => {
        bytes += chunk.length;
        onData(chunk);
      }),
  });
  const ms = performance.now() - before;
  await connections.destroy();
  return { bytes, ms };
}

/** Runs the bench. */
export const runChunks: Bench = async ({ print }) => {
  const fields: Record<string, unknown> = {};
  const broken: string[] = [];
  for (const chunkBytes of CHUNK_SIZES) {
    const workerData: ChunkSourceData = { chunkBytes };
    const source = new Worker(new URL('../harness/chunk-source.js', import.meta.url), {
      workerData,
    });
    const [port] = (await once(source, 'message')) as [number];
    for (const [name, reader] of Object.entries(readers)) {
      const times = createHistogram();
      let bytes = 0;
      for (let count = 0; count < REPETITIONS; count += 1) {
        const measured = await measure(port, reader);
        bytes = Math.max(bytes, measured.bytes);
        times.record(Math.max(1, Math.round(measured.ms * NS_PER_MS)));
      }
      const medianMs = times.percentile(50) / NS_PER_MS;
      const longestMs = times.max / NS_PER_MS;
      const key = `${name}_${chunkBytes}`;
      print(
        `${name} in chunks of ${chunkBytes}: ${bytes} bytes to the limit, median ${medianMs.toFixed(1)} ms, ` +
          `longest ${longestMs.toFixed(1)} ms, ${((medianMs * NS_PER_MS) / bytes).toFixed(1)} ns a byte`,
      );
      fields[key] = { bytes, medianMs, longestMs };
      if (medianMs > MAX_RESPONSE_MS) broken.push(`${key}: ${medianMs} ms for one response`);
    }
    await source.terminate();
  }
  return { fields, broken };
};
