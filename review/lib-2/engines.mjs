/**
 * Stand-ins of model servers in two stages, and of plain servers. They speak what PROTOCOL.md says under
 * Requests, Answers, Servers, and Prefill and decode, and register themselves in the store.
 */
import { URL } from 'node:url';
import { Buffer } from 'node:buffer';
import { setTimeout, setInterval, clearInterval } from 'node:timers';
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';
import { buffer } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';

export const HEARTBEAT_MS = 1_200;
/** The store removes an entry after this many heartbeats of silence. */
const SILENT_HEARTBEATS = 3;
const SLOTS = 64;
const KV_TOKENS = 59_819;
const PROMPT_TOKENS_PER_MS = 55.5556;
const HANDLE_TTL_MS = 500;
const TOKENS_PER_EVENT = 7;
/** A step makes one token of each request in the batch. */
const STEP_MS = 5.6;
const FIRST_MS = 40;

export const createId = () => `i-${randomBytes(4).toString('hex')}`;

/** Returns an event of a stream, which names its request. */
export const createEvent = (request, event) => `id: ${event}\ndata: ${request} ${event}\n\n`;

export const countEvents = (maxTokens) => Math.max(1, Math.ceil(maxTokens / TOKENS_PER_EVENT));

/** Handles of prompts that were read: what a server keeps for others, by `address/handle`. */
const handles = new Map();

/**
 * Starts a server. `options`: `store`, `service`, `zone`, `stage` (undefined for a plain server),
 * `onRun(server, request, kind)`, called when a run or a prefill begins, `onMiss(server, request)`, called
 * when a run is refused, `onArrival(server, req)`, called with each request that isn't misdirected, `crashesOn(req)`, whether the server crashes as it begins to answer a request,
 * `headOf(server)`, further headers of its answers, `beforeReading(server, req)`, awaited before the server reads a
 * body, and `workMs` of plain servers.
 */
export async function startServer(options) {
  const { store, service, zone, stage } = options;
  const id = options.id ?? createId();
  const born = Date.now();
  const sockets = new Set();
  const holds = new Map();
  let running = 0;
  let usedTokens = 0;
  let sequence = 0;
  let isOver = false;
  let state = 'ready';
  let timer;
  let self;

  const usageOf = (req) =>
    String(req.headers['x-token-usage'] ?? '0,0')
      .split(',')
      .map(Number);
  const echoOf = (req) => {
    const attempt = req.headers['x-attempt-id'];
    return {
      ...(attempt === undefined ? {} : { 'x-attempt-id': attempt }),
      ...(options.headOf?.(self) ?? {}),
    };
  };
  const sendJson = (req, res, status, body, head = {}) => {
    res.writeHead(status, { 'content-type': 'application/json', ...echoOf(req), ...head });
    res.end(JSON.stringify(body));
  };
  const refuse = (req, res) => {
    options.onMiss?.(self, req.headers['x-attempt-id']);
    sendJson(req, res, 503, {}, { 'x-not-executed': '1' });
  };
  const stampOf = (req) => ({ 'x-server-stamp': `${id}.${req.headers['x-attempt-id']}` });
  const freeTokens = () => {
    const held = [...holds.values()].reduce((sum, tokens) => sum + tokens, 0);
    return KV_TOKENS - usedTokens - held;
  };
  const freeSlots = () => SLOTS - running - holds.size;

  const takeHold = (req, res, body) => {
    const { tokens, 'ttl-ms': ttlMs } = JSON.parse(body.toString());
    if (stage !== 'decode' || freeSlots() < 1 || freeTokens() < tokens) {
      sendJson(req, res, 503, {}, { 'x-not-executed': '1' });
      return;
    }
    const hold = randomBytes(6).toString('hex');
    holds.set(hold, tokens);
    setTimeout(() => holds.delete(hold), ttlMs).unref();
    sendJson(req, res, 200, { hold });
  };

  const prefill = async (req, res) => {
    const [tokens] = usageOf(req);
    options.onRun(self, req, 'prefill');
    await sleep(tokens / PROMPT_TOKENS_PER_MS);
    if (isOver || res.destroyed) return;
    const handle = randomBytes(6).toString('hex');
    const key = `${self.address}/${handle}`;
    handles.set(key, tokens);
    setTimeout(() => handles.delete(key), HANDLE_TTL_MS).unref();
    sendJson(req, res, 200, { handle, tokens, version: 1 });
  };

  const decode = async (req, res) => {
    const [tokens, maxTokens] = usageOf(req);
    const isHeld = holds.delete(req.headers['x-kv-hold']);
    const source = req.headers['x-kv-source'];
    if (!isHeld && (freeSlots() < 1 || freeTokens() < tokens)) return refuse(req, res);
    if (source !== undefined && !handles.delete(source)) return refuse(req, res);
    running += 1;
    usedTokens += tokens + maxTokens;
    try {
      if (source === undefined) await sleep((2 * tokens) / PROMPT_TOKENS_PER_MS);
      if (isOver || res.destroyed) return undefined;
      options.onRun(self, req, 'run');
      await sleep(FIRST_MS);
      if (isOver || res.destroyed) return undefined;
      const head = { 'content-type': 'text/event-stream', ...echoOf(req), ...stampOf(req) };
      res.writeHead(200, head);
      res.flushHeaders();
      if (options.crashesOn?.(req)) {
        self.crash();
        return undefined;
      }
      const first = Number(req.headers['last-event-id'] ?? 0) + 1;
      for (let event = first; event <= countEvents(maxTokens) && !res.destroyed; event += 1) {
        res.write(createEvent(req.headers['x-attempt-id'], event));
        await sleep(TOKENS_PER_EVENT * STEP_MS);
      }
      if (!res.destroyed) res.end();
    } finally {
      running -= 1;
      usedTokens -= tokens + maxTokens;
    }
    return undefined;
  };

  const runPlain = async (req, res) => {
    options.onRun(self, req, 'run');
    await sleep(options.workMs ?? 20);
    if (res.destroyed) return;
    const body = options.bodyOf?.(req) ?? Buffer.from(`answer to ${req.headers['x-attempt-id']}`);
    res.writeHead(200, { ...echoOf(req), ...stampOf(req), 'content-length': body.length });
    res.end(body);
  };

  const serve = async (req, res) => {
    await options.beforeReading?.(self, req);
    const body = await buffer(req);
    const expected = req.headers['x-expect-instance'];
    if (expected === undefined || expected === id) options.onArrival?.(self, req);
    const { pathname } = new URL(req.url, 'http://server');
    if (expected !== undefined && expected !== id) sendJson(req, res, 421, {});
    else if (pathname === '/hibiscusbank/hold-take') takeHold(req, res, body);
    else if (pathname.startsWith('/hibiscusbank/hold-drop/')) {
      holds.delete(decodeURIComponent(pathname.split('/').at(-1)));
      sendJson(req, res, 200, {});
    } else if (pathname.startsWith('/hibiscusbank/kv-handle/')) {
      handles.delete(`${self.address}/${decodeURIComponent(pathname.split('/').at(-1))}`);
      sendJson(req, res, 200, {});
    } else if (pathname === '/hibiscusbank/order') sendJson(req, res, 200, {});
    else if (stage === undefined) await runPlain(req, res);
    else if (req.headers['x-serving-stage'] === 'prefill') {
      if (stage === 'prefill') await prefill(req, res);
      else sendJson(req, res, 421, {});
    } else if (stage === 'prefill') sendJson(req, res, 421, {});
    else await decode(req, res);
  };

  const server = createServer((req, res) => {
    res.on('error', () => {});
    req.on('error', () => {});
    serve(req, res).catch(() => res.destroy());
  });
  server.keepAliveTimeout = 20_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(options.port ?? 0, '127.0.0.1', resolve);
  });

  const register = () => {
    sequence += 1;
    store.put('servers', id, {
      service,
      address: self.address,
      zone,
      version: 'v1',
      slots: stage === undefined ? 6 : SLOTS,
      state,
      'cold-remaining-ms': 0,
      ...(stage === undefined ? {} : { stage, models: [{ name: 'm', version: 1, adapters: [] }] }),
      sequence,
      born,
    });
  };
  const end = () => {
    isOver = true;
    clearInterval(timer);
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
  };
  self = {
    id,
    zone,
    stage,
    service,
    address: `127.0.0.1:${server.address().port}`,
    /** Ends at once, as a process that crashes does. The store drops its entry later. */
    crash: () => {
      if (isOver) return;
      end();
      options.onCrash?.(self);
      setTimeout(() => store.remove('servers', id), SILENT_HEARTBEATS * HEARTBEAT_MS).unref();
    },
    /** Reports that it is leaving. It goes on serving until it is stopped. */
    drain: () => {
      state = 'draining';
      register();
    },
    running: () => running,
    stop: () => {
      if (!isOver) end();
    },
  };
  register();
  timer = setInterval(register, HEARTBEAT_MS);
  return self;
}
