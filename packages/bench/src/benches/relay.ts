/** CPU time of relaying token streams through one node, compared with a proxy that only pipes. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';
import { dataCentreId, sleep } from '@hibiscusbank/core';
import { createHistogram } from 'node:perf_hooks';
import { Agent } from 'undici';
import { startProcess } from '../harness/processes.js';
import type { BenchProcess } from '../harness/processes.js';
import { findFreePorts } from '../harness/ports.js';
import { tenantKeyOf, startSite, writeTables } from '../harness/site.js';
import {
  BENCH_ORGANISATION,
  createPoolEntry,
  createRouteEntry,
  createUpstreamEntry,
  UNLIMITED_RATE,
} from '../harness/tables.js';
import type { Bench } from '../types.js';

const STREAMS = 250;
const TOKEN_MS = 40;
const WARM_UP_MS = 3_000;
const MS_PER_S = 1_000;
const BYTES_PER_MB = 1_000_000;
const P95 = 95;

const PIPE_SCRIPT = fileURLToPath(new URL('../harness/pipe-main.js', import.meta.url));

/** Starts an engine that emits tokens without end, with one timer for all streams. */
async function startTokenSource(): Promise<{ url: string; stop: () => void }> {
  const streams = new Set<(index: number, now: number) => void>();
  const server: Server = createServer((req, res) => {
    req.resume();
    if (req.url === '/v1/prefill') {
      res.setHeader('content-type', 'application/json');
      res.end('{"kv_id":"kv","prompt_tokens":1,"cached_tokens":0,"elapsed_ms":1}');
      return;
    }
    if (req.url === '/v1/decode') {
      res.writeHead(200, { 'content-type': 'text/event-stream' });
      let next = 0;
      const emit = (_index: number, now: number): void => {
        res.write(`id: ${next}\ndata: {"text":" ${now.toFixed(1)}"}\n\n`);
        next += 1;
      };
      streams.add(emit);
      res.on('close', () => streams.delete(emit));
      return;
    }
    res.setHeader('content-type', 'application/json');
    res.end(req.url === '/v1/holds' ? '{"holds":[]}' : '{"latestSeq":0,"events":[],"models":[]}');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  // Spreads the streams over the token interval, like streams of many independent engines.
  const TICKS_PER_TOKEN = 10;
  let tick = 0;
  const timer = setInterval(() => {
    const now = performance.now();
    let i = 0;
    for (const emit of streams) {
      if (i % TICKS_PER_TOKEN === tick % TICKS_PER_TOKEN) emit(i, now);
      i += 1;
    }
    tick += 1;
  }, TOKEN_MS / TICKS_PER_TOKEN);
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    stop: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}

interface StreamReader {
  readonly tokens: () => number;
  /** Gaps between the tokens of a stream, in microseconds. */
  readonly gaps: ReturnType<typeof createHistogram>;
  readonly stop: () => void;
}

/** Counts the server-sent events that begin in a chunk. */
function countEvents(chunk: Buffer): number {
  let events = 0;
  for (let at = chunk.indexOf('id: '); at !== -1; at = chunk.indexOf('id: ', at + 1)) events += 1;
  return events;
}

function readStreams(target: string, path: string, body: string): StreamReader {
  const client = new Agent({
    connections: STREAMS,
    pipelining: 1,
    bodyTimeout: 0,
    headersTimeout: 0,
  });
  const gaps = createHistogram();
  const aborts: ((error: Error) => void)[] = [];
  let tokens = 0;

  const openStream = (): void => {
    let lastTokenAtMs = 0;
    client.dispatch(
      {
        origin: target,
        path,
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          authorization: `Bearer ${tenantKeyOf(BENCH_ORGANISATION)}`,
        },
        body,
      },
      {
        onRequestStart: (controller) => {
          aborts.push((error) => controller.abort(error));
        },
        onResponseStart: () => {},
        onResponseData: (_controller, chunk) => {
          const events = countEvents(chunk);
          if (events === 0) return;
          tokens += events;
          const now = performance.now();
          if (lastTokenAtMs !== 0)
            gaps.record(Math.max(1, Math.round((now - lastTokenAtMs) * MS_PER_S)));
          lastTokenAtMs = now;
        },
        onResponseEnd: () => {},
        onResponseError: () => {},
      },
    );
  };

  for (let i = 0; i < STREAMS; i += 1) openStream();
  return {
    tokens: () => tokens,
    gaps,
    stop: () => {
      for (const abort of aborts) abort(new Error('measurement finished'));
      void client.destroy();
    },
  };
}

interface RelayFigures {
  readonly cpuCore: number;
  readonly rssMb: number;
  readonly tokensPerS: number;
  readonly gapP95Ms: number;
}

async function measureRelay(
  target: string,
  path: string,
  body: string,
  relay: BenchProcess | undefined,
  seconds: number,
): Promise<RelayFigures> {
  const reader = readStreams(target, path, body);
  await sleep(WARM_UP_MS);
  reader.gaps.reset();
  const before = await relay?.readUsage();
  const tokensBefore = reader.tokens();
  const startedAt = performance.now();
  await sleep(seconds * MS_PER_S);
  const elapsedS = (performance.now() - startedAt) / MS_PER_S;
  const after = await relay?.readUsage();
  const tokensPerS = (reader.tokens() - tokensBefore) / elapsedS;
  const gapP95Ms = reader.gaps.percentile(P95) / MS_PER_S;
  reader.stop();
  return {
    cpuCore: ((after?.cpuS ?? 0) - (before?.cpuS ?? 0)) / elapsedS,
    rssMb: (after?.rssBytes ?? 0) / BYTES_PER_MB,
    tokensPerS,
    gapP95Ms,
  };
}

const chatBody = JSON.stringify({
  model: 'scribe',
  stream: true,
  max_tokens: 1_000_000,
  messages: [{ role: 'user', content: 'relay' }],
});

async function measureNode(engineUrl: string, seconds: number): Promise<RelayFigures> {
  const site = await startSite({ dataCentres: ['dc'], nodes: 1 });
  try {
    const placement = { dataCentre: dataCentreId('dc'), address: engineUrl };
    const ampleCapacity = {
      capacity: STREAMS * 2,
      memoryBlocks: 1_000_000,
      coldLimit: STREAMS * 2,
    };
    const pool = createPoolEntry('scribe', 'model', [
      createUpstreamEntry('p1', 'scribe', { ...placement, ...ampleCapacity, role: 'prefill' }),
      createUpstreamEntry('d1', 'scribe', { ...placement, ...ampleCapacity, role: 'decode' }),
    ]);
    await writeTables(site.objectApi, {
      routes: [
        createRouteEntry('chat', 'scribe', [BENCH_ORGANISATION], {
          timeLimitMs: 600_000,
          patienceMs: 60_000,
        }),
      ],
      pools: [{ ...pool, blockTokens: 1_000_000 }],
      organisations: [{ id: BENCH_ORGANISATION, ratePerS: UNLIMITED_RATE, burst: UNLIMITED_RATE }],
    });
    await site.waitUntilReady();
    const [node] = site.nodes;
    if (node === undefined) throw new Error('the site has no nodes');
    return await measureRelay(node.url, '/v1/chat/completions', chatBody, node.process, seconds);
  } finally {
    await site.stop();
  }
}

async function measurePipe(engineUrl: string, seconds: number): Promise<RelayFigures> {
  const [port] = await findFreePorts(1);
  const pipe = startProcess('pipe', PIPE_SCRIPT, [String(port), engineUrl]);
  try {
    await sleep(MS_PER_S);
    return await measureRelay(`http://127.0.0.1:${port}`, '/v1/decode', '{}', pipe, seconds);
  } finally {
    pipe.signal('SIGKILL');
    await pipe.exited;
  }
}

const round = (value: number, digits = 3): number => Number(value.toFixed(digits));

export const runRelay: Bench = async ({ seconds, print }) => {
  const phaseS = Math.max(2, (seconds - 15) / 3);
  const tokenSource = await startTokenSource();
  const direct = await measureRelay(tokenSource.url, '/v1/decode', '{}', undefined, phaseS);
  print(`direct: ${round(direct.tokensPerS, 0)} tokens/s, gap p95 ${round(direct.gapP95Ms)} ms`);
  const pipe = await measurePipe(tokenSource.url, phaseS);
  print(`pipe: ${round(pipe.tokensPerS, 0)} tokens/s, ${round(pipe.cpuCore)} core`);
  const node = await measureNode(tokenSource.url, phaseS);
  print(`node: ${round(node.tokensPerS, 0)} tokens/s, ${round(node.cpuCore)} core`);
  tokenSource.stop();
  return {
    fields: {
      tokens_per_s: round(node.tokensPerS, 0),
      cpu_core: round(node.cpuCore),
      cpu_core_at_6200: round((node.cpuCore / node.tokensPerS) * 6_200),
      cpu_ratio_vs_pipe: round(node.cpuCore / pipe.cpuCore),
      added_itl_p95_ms: round(node.gapP95Ms - direct.gapP95Ms),
      rss_mb: round(node.rssMb, 1),
      pipe: { cpu_core: round(pipe.cpuCore), rss_mb: round(pipe.rssMb, 1) },
    },
    broken: [],
  };
};
