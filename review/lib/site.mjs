/** A small site on loopback: the store, front machines with the command of the deploy file, and clients. */
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import process from 'node:process';
import { spawn } from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { findFreePorts, sleep } from './http.mjs';
import { startStore } from './store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const RUN = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1];

/** The bounds of the small deployments, as `fleetbench wire` prints them. */
const BOUNDS = {
  'seed-lag-s': 3,
  'reuse-after-s': 2,
  'stable-window-ms': 3000,
  'ack-ms': 4000,
  'catch-up-s': 4,
  'drain-ms': 2000,
  'grace-s': 8,
  'loss-slack-ms': 200,
  'config-apply-ms': 2000,
  'rollback-slack-ms': 250,
  'max-skew-ms': 5000,
  'strict-revocation': false,
  'revoke-ms': 5000,
  'retry-budget-ratio': 0.2,
  'budget-window-s': 10,
  'budget-slack': 52,
  'quota-window-s': 8,
  'quota-over': 0.1,
  'quota-slack': 190000,
  'cold-over': 1.5,
  'cold-slack': 5,
  'evac-ms': 5000,
  'recover-s': 12,
  'transit-ms': 120,
  'again-s': 6.6,
  'fencing-required': false,
  'lease-ms': 3000,
  'thaw-ms': 300,
};

/** The configuration of a small deployment; keys, hosts and paths are as on the users' pages. */
export const HOST = 'ficu95.example';
export const KEY = 'i9n73hh2b9wu3fexd9dn';
export const PATHS = { stream: '/lohu930/2f', resumable: '/pufi791/2f', booking: '/puxa403/2f' };

function createConfig({ engineSlots, engineMemory, bookingTimeoutMs }) {
  const stream = {
    host: HOST,
    kind: 'streaming',
    'timeout-ms': 14000,
    'target-latency-ms': 900,
    priority: 1,
    service: 'engines',
    public: false,
    'session-affinity': true,
    'gap-aim-ms': 300,
  };
  return {
    version: 7,
    routes: [
      { ...stream, name: 'r-s', 'path-prefix': '/lohu930/', 'max-attempts': 1, resumable: false },
      { ...stream, name: 'r-r', 'path-prefix': '/pufi791/', 'max-attempts': 2, resumable: true },
      {
        name: 'r-b',
        host: HOST,
        'path-prefix': '/puxa403/',
        kind: 'non_idempotent',
        'timeout-ms': bookingTimeoutMs,
        'target-latency-ms': 121,
        priority: 2,
        service: 'desk',
        'max-attempts': 1,
        public: false,
        resumable: false,
      },
    ],
    services: [
      {
        name: 'engines',
        'health-path': '/healthz',
        'max-connections': 360,
        protocol: 'h1',
        tls: false,
        'cold-start-s': 3.0,
        'cold-per-s': 8.4,
        engine: {
          slots: engineSlots,
          'kv-tokens': engineMemory,
          'kv-token-bytes': 327680,
          'link-mbps': 3200000.0,
          moves: true,
          backups: true,
          stride: 11,
          most: 12,
          'handle-ttl-s': 0.5,
          'switch-s': 6.0,
          'pin-ms': 4000.0,
          'hold-ms': 2000.0,
          models: [{ name: 'm' }],
        },
      },
      {
        name: 'desk',
        'health-path': '/healthz',
        'max-connections': 96,
        protocol: 'h1',
        tls: false,
        'cold-start-s': 0,
        'cold-per-s': 0,
      },
    ],
    limits: {
      'max-header-bytes': 16384,
      'max-body-bytes': 4194304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15000,
    },
    tenants: [
      {
        name: 'hule930',
        'api-keys': [KEY],
        priority: 1,
        unit: 'tokens',
        'plain-tokens': 200,
        'rate-per-s': 0,
        burst: 0,
      },
    ],
  };
}

/** Starts the store and `zones.length` front machines, one in each given zone. */
export async function startSite({
  directory,
  zones,
  engineSlots = 64,
  engineMemory = 59_819,
  bookingTimeoutMs = 1_500,
}) {
  const recordFile = createWriteStream(join(directory, 'record.txt'));
  const startedAt = performance.now();
  const record = (what, details) => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    recordFile.write(`${seconds} ${what} ${JSON.stringify(details)}\n`);
  };
  const temporary = mkdtempSync(join(tmpdir(), 'review-'));
  const store = await startStore();
  store.put('config', 'main', createConfig({ engineSlots, engineMemory, bookingTimeoutMs }));
  const hosts = zones.map((_, index) => `127.0.0.${index + 2}`);
  const [front, ready, peer] = await findFreePorts(hosts, 3);
  const children = new Set();
  // Also when the case ends before `stop` could be called.
  process.once('exit', () => {
    for (const child of children) child.kill('SIGKILL');
  });

  const machines = zones.map((zone, index) => {
    const ip = hosts[index];
    const name = `frontend-${zone}-${index + 1}`;
    const settingsPath = join(temporary, `${name}.json`);
    writeFileSync(
      settingsPath,
      JSON.stringify({
        node: name,
        role: 'router',
        'machine-class': 'frontend',
        serves: ['frontend'],
        ip,
        zone,
        region: 'almaty',
        zones: Object.fromEntries(zones.map((each) => [each, 'almaty'])),
        listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
        'internal-ports': [peer, peer],
        seeds: hosts.slice(0, 3).map((host) => `${host}:${peer}`),
        bootstrap: true,
        'loss-counts': false,
        limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': 200, 'max-fds': 4100 },
        'data-dir': null,
        discovery: 'platform',
        entry: 'vip',
        'heartbeat-ms': 1200,
        'fault-tolerance': { machines: 2, zones: 1, regions: 0 },
        bounds: BOUNDS,
        platform: {
          address: store.address,
          form: 'objects',
          'writes-per-s': 400,
          'reads-per-s': 2000,
          'history-s': 20,
          'value-bytes': 1048576,
        },
      }),
    );
    const machine = { name, zone, host: ip, front, ready, child: undefined, ends: 0 };
    machine.start = () => {
      const [program, ...args] = RUN.split(' ');
      const log = openSync(join(temporary, `${name}.log`), 'a');
      const child = spawn(program === 'node' ? process.execPath : program, args, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: temporary, HIBISCUSBANK_CONFIG: settingsPath },
        stdio: ['ignore', log, log],
      });
      children.add(child);
      machine.child = child;
      record('process starts', { machine: name });
      child.once('exit', (code, signal) => {
        children.delete(child);
        record('process ends', { machine: name, code, signal });
        machine.onExit?.(code, signal);
      });
    };
    machine.log = () => readFileSync(join(temporary, `${name}.log`), 'utf8');
    return machine;
  });

  for (const machine of machines) machine.start();

  const isReady = (machine) =>
    new Promise((resolve) => {
      const req = request(
        {
          host: machine.host,
          port: ready,
          path: '/hibiscusbank/readyz',
          agent: false,
          timeout: 900,
        },
        (res) => {
          res.resume();
          resolve(res.statusCode === 200);
        },
      );
      req.on('error', () => resolve(false));
      req.on('timeout', () => req.destroy());
      req.end();
    });

  const stop = async () => {
    for (const machine of machines) machine.onExit = undefined;
    for (const child of [...children]) child.kill('SIGKILL');
    while (children.size > 0) await sleep(20);
    store.stop();
    await new Promise((resolve) => {
      recordFile.end(resolve);
    });
    rmSync(temporary, { recursive: true, force: true });
  };

  const waitUntilReady = async (limitMs = 20_000) => {
    const until = performance.now() + limitMs;
    for (;;) {
      const states = await Promise.all(machines.map(isReady));
      if (states.every(Boolean)) return true;
      if (performance.now() > until) return false;
      await sleep(100);
    }
  };

  return { store, machines, owners: new Map(), record, isReady, waitUntilReady, stop };
}

let lastRequest = 0;

/**
 * Sends one request as a client does, on a new connection. Resolves to what the client saw: `status`,
 * `isWhole`, `events`, `stamp`, `error`. `patienceMs`: pause after which a client leaves a stream.
 */
export function sendRequest(
  site,
  machine,
  { path, method = 'POST', usage, deadlineMs, patienceMs },
) {
  lastRequest += 1;
  const id = `c0${lastRequest.toString(16).padStart(14, '0')}`;
  const sentAt = performance.now();
  const body = usage === undefined ? 'b'.repeat(600) : 'p'.repeat(5_000);
  const headers = {
    host: HOST,
    authorization: `Bearer ${KEY}`,
    'x-attempt-id': id,
    'x-deadline-ms': String(deadlineMs),
    'content-length': body.length,
    ...(usage === undefined
      ? {}
      : {
          'x-model': 'm',
          'x-token-usage': usage,
          'x-prompt-prefix': `5c1e07a2:200,${id.slice(-8)}:4800`,
        }),
  };
  site.owners.set(id, machine);
  site.record('sent', { request: id, machine: machine.name, path });
  return new Promise((resolve) => {
    let events = 0;
    let isDone = false;
    let timer;
    let status;
    let stamp;
    const finish = (result) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      const seen = {
        request: id,
        machine: machine.name,
        status,
        stamp,
        events,
        ms: Math.round(performance.now() - sentAt),
        ...result,
      };
      site.record('answered', seen);
      resolve(seen);
    };
    let req;
    const wait = () => {
      if (patienceMs === undefined) return;
      clearTimeout(timer);
      timer = setTimeout(() => {
        finish({ isWhole: false, error: 'client left' });
        req.destroy();
      }, patienceMs);
    };
    req = request(
      { host: machine.host, port: machine.front, path, method, headers, agent: false },
      (res) => {
        status = res.statusCode;
        stamp = res.headers['x-server-stamp'];
        res.on('data', (chunk) => {
          events += chunk.toString().split('\n\n').length - 1;
          wait();
        });
        res.on('end', () => finish({ isWhole: res.complete }));
        res.on('error', (error) => finish({ isWhole: false, error: error.code ?? error.message }));
      },
    );
    wait();
    req.on('error', (error) => finish({ isWhole: false, error: error.code ?? error.message }));
    req.end(body);
  });
}
