/**
 * Stand-ins of the platform's servers, which follow the pages: engines with reservations, prefill and
 * streams, and application servers. A case changes their behaviour by `faults`.
 */
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { createServer } from 'node:http';
import { listen, readBody, sendJson, sleep } from './http.mjs';

const HEARTBEAT_MS = 1_200;
let lastId = 0;

const nextId = (prefix) => {
  lastId += 1;
  return `${prefix}${lastId.toString(16).padStart(4, '0')}`;
};

/** Returns the header by which a server echoes the id of a request. */
export const echo = (req) => {
  const id = req.headers['x-attempt-id'];
  return id === undefined ? {} : { 'x-attempt-id': id };
};

/** Registers a server in the store, and writes there again every heartbeat. */
function register(store, id, entry) {
  let sequence = 1;
  const write = () => {
    store.put('servers', id, { ...entry, 'cold-remaining-ms': 0, sequence });
    sequence += 1;
  };
  write();
  const timer = setInterval(write, HEARTBEAT_MS);
  return () => clearInterval(timer);
}

/**
 * Starts a server. `serve` gets each request that is meant for it. `onRun` is called when it begins
 * to work on a request.
 */
async function startServer(store, entry, serve) {
  const id = nextId('i-5a');
  const server = createServer((req, res) => {
    // A caller that closes its connection is no fault of the stand-in.
    res.on('error', () => {});
    void readBody(req)
      .then((body) => {
        const expected = req.headers['x-expect-instance'];
        if (expected !== undefined && expected !== id) {
          sendJson(res, 421, {}, { 'x-instance-id': id, ...echo(req) });
          return undefined;
        }
        return serve({ req, res, body, id });
      })
      .catch(() => res.destroy());
  });
  server.keepAliveTimeout = 20_000;
  const port = await listen(server, '127.0.0.1');
  const address = `127.0.0.1:${port}`;
  const born = Date.now();
  const unregister = register(store, id, {
    ...entry,
    address,
    version: 'v1',
    state: 'ready',
    born,
  });
  return {
    id,
    address,
    stop: () => {
      unregister();
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Starts an application server, which works `workMs` on each request. */
export function startPlainServer({ store, service, zone, workMs, record, answer }) {
  return startServer(store, { service, zone, slots: 6 }, async ({ req, res, body, id }) => {
    record('run', { server: id, request: req.headers['x-attempt-id'], bytes: body.length });
    if (answer !== undefined && (await answer({ req, res, id }))) return;
    await sleep(workMs);
    res.writeHead(200, {
      ...echo(req),
      'x-server-stamp': `${id}.${req.headers['x-attempt-id']}`,
      'content-length': 800,
    });
    res.end('a'.repeat(800));
  });
}

/**
 * Starts an engine. `memory` is its memory in tokens, `slots` its places. Requests run with
 * `eventMs` between two events; `events` gives the number of events of a request.
 */
export function startEngine(options) {
  const { store, service, zone, stage, memory, slots, eventMs, events, record } = options;
  const holds = new Map();
  const handles = new Map();
  const running = new Set();
  const used = () =>
    [...holds.values(), ...running].reduce((total, { tokens }) => total + tokens, 0);
  const places = () => holds.size + running.size;
  const engine = { used, places, runs: 0, answers: 0, answer: options.answer };

  const takeHold = async ({ req, res, body, id }) => {
    const { tokens, 'ttl-ms': ttlMs } = JSON.parse(body.toString());
    if (used() + tokens > memory || places() >= slots) {
      const isDone = await engine.answer?.({ kind: 'hold refused', req, res, id });
      if (!isDone) sendJson(res, 503, { error: 'no room' });
      return;
    }
    const hold = nextId('h-');
    const timer = setTimeout(() => holds.delete(hold), ttlMs);
    holds.set(hold, { tokens, timer });
    if (!(await engine.answer?.({ kind: 'hold taken', req, res, id, hold })))
      sendJson(res, 200, { hold });
  };

  const prefill = async ({ req, res, id }) => {
    const [promptTokens] = String(req.headers['x-token-usage']).split(',').map(Number);
    await sleep(promptTokens / 55);
    const handle = nextId('k-');
    handles.set(handle, req.headers['x-attempt-id']);
    if (await engine.answer?.({ kind: 'prefill', req, res, id })) return;
    sendJson(res, 200, { handle, tokens: promptTokens, version: 1 }, echo(req));
  };

  const run = async ({ req, res, id }) => {
    const request = req.headers['x-attempt-id'];
    const hold = holds.get(req.headers['x-kv-hold']);
    const [promptTokens] = String(req.headers['x-token-usage']).split(',').map(Number);
    if (hold !== undefined) {
      clearTimeout(hold.timer);
      holds.delete(req.headers['x-kv-hold']);
    } else if (used() + promptTokens > memory || places() >= slots) {
      sendJson(res, 503, {}, { 'x-not-executed': '1', ...echo(req) });
      return;
    }
    const job = { tokens: promptTokens };
    running.add(job);
    let isClosed = false;
    res.on('close', () => {
      isClosed = true;
      running.delete(job);
    });
    if (await engine.answer?.({ kind: 'run', req, res, id })) return;
    await sleep(20);
    if (isClosed) return;
    engine.runs += 1;
    record('run', { server: id, request });
    res.writeHead(200, {
      ...echo(req),
      'x-server-stamp': `${id}.${request}`,
      'x-weight-versions': '1',
      'content-type': 'text/event-stream',
    });
    const first = Number(req.headers['last-event-id'] ?? 0) + 1;
    const last = events(req);
    for (let event = first; event <= last && !isClosed; event += 1) {
      res.write(`id: ${event}\ndata: ${'t'.repeat(60)}\n\n`);
      job.tokens += 11;
      await sleep(eventMs);
    }
    if (!isClosed) res.end();
  };

  const serve = async (exchange) => {
    const { req, res } = exchange;
    engine.answers += 1;
    const [path] = req.url.split('?');
    if (path === '/hibiscusbank/hold-take') return takeHold(exchange);
    if (path.startsWith('/hibiscusbank/hold-drop/')) {
      const hold = decodeURIComponent(path.split('/').at(-1));
      clearTimeout(holds.get(hold)?.timer);
      holds.delete(hold);
      return sendJson(res, 200, {});
    }
    if (path.startsWith('/hibiscusbank/kv-handle/')) {
      handles.delete(decodeURIComponent(path.split('/').at(-1)));
      return sendJson(res, 200, {});
    }
    if (path === '/hibiscusbank/order') return sendJson(res, 200, {});
    if (req.headers['x-serving-stage'] === 'prefill') return prefill(exchange);
    if (stage === 'prefill') return sendJson(res, 421, {}, echo(req));
    return run(exchange);
  };

  const models = [{ name: 'm', version: 1, adapters: [] }];
  return startServer(store, { service, zone, slots, stage, models }, serve).then((server) =>
    Object.assign(engine, server),
  );
}
