/** The demo's deployment: stand-ins and nodes in one process, on loopback. */
import { randomUUID } from 'node:crypto';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { configurationKeys, digestKey } from '@hibiscusbank/configuration';
import { dataCentreId, organisationId, sleep, unwrap, vmId } from '@hibiscusbank/core';
import { createHttpPorts, createNode } from '@hibiscusbank/node';
import type { RouterNode } from '@hibiscusbank/node';
import { createHttpObjectApi } from '@hibiscusbank/object-api';
import type { ObjectApi } from '@hibiscusbank/object-api';
import { parsePools, parseRoutes } from '@hibiscusbank/settings';
import type { NodeSettings } from '@hibiscusbank/settings';
import { startEngine, startObjectApi, startUpstream, startVmList } from '@hibiscusbank/standins';
import type { EngineStandin, UpstreamStandin } from '@hibiscusbank/standins';
import { DATA_CENTRES, formatPools, ROUTES_INI } from './tables.js';
import type { DataCentreUpstreams } from './tables.js';

const NODES_PER_DATA_CENTRE = 2;
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_INTERVAL_MS = 100;

export const ORGANISATIONS = {
  tengri: { ratePerS: 4_000, burst: 20_000 },
  werkbankdienst: { ratePerS: 2_000, burst: 10_000 },
} as const;

export type OrganisationName = keyof typeof ORGANISATIONS;

export interface DemoNode {
  readonly node: RouterNode;
  readonly dataCentre: string;
  readonly url: string;
  readonly admin: string;
}

export interface DemoSite {
  readonly objectApi: ObjectApi;
  readonly nodes: readonly DemoNode[];
  readonly engines: readonly EngineStandin[];
  readonly plainUpstreams: ReadonlyMap<string, UpstreamStandin>;
  readonly keys: Readonly<Record<OrganisationName, string>>;
  stop(): Promise<void>;
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  return port;
}

async function startUpstreams() {
  const engines: EngineStandin[] = [];
  const plainUpstreams = new Map<string, UpstreamStandin>();
  const upstreams: DataCentreUpstreams[] = [];
  for (const dataCentre of DATA_CENTRES) {
    const prefill = await startEngine(0, { role: 'prefill' });
    const decode = await startEngine(0, { role: 'decode' });
    const plain = await startUpstream(0);
    engines.push(prefill, decode);
    plainUpstreams.set(dataCentre, plain);
    upstreams.push({ dataCentre, prefill: prefill.url, decode: decode.url, plain: plain.url });
  }
  return { engines, plainUpstreams, upstreams };
}

async function write(api: ObjectApi, key: string, value: unknown): Promise<void> {
  unwrap(await api.put(key, value, { writeId: randomUUID() }));
}

async function writeConfiguration(
  api: ObjectApi,
  upstreams: readonly DataCentreUpstreams[],
): Promise<DemoSite['keys']> {
  const keys = { tengri: `sk-${randomUUID()}`, werkbankdienst: `sk-${randomUUID()}` };
  for (const pool of unwrap(parsePools(formatPools(upstreams)))) {
    await write(api, configurationKeys.pool(pool.id), pool);
  }
  await write(api, configurationKeys.routes, unwrap(parseRoutes(ROUTES_INI)));
  for (const [name, limits] of Object.entries(ORGANISATIONS)) {
    const organisation = organisationId(name);
    const key = keys[name as OrganisationName];
    const digest = digestKey(key);
    await write(api, configurationKeys.organisation(organisation), { id: organisation, ...limits });
    await write(api, configurationKeys.tenantKey(digest), {
      digest,
      organisation,
      withdrawn: false,
      hint: key.slice(0, 6),
    });
  }
  return keys;
}

async function createSettings(
  index: number,
  objectApi: string,
  vmList: string,
): Promise<NodeSettings> {
  const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? DATA_CENTRES[0];
  const listen = async () => ({ host: '127.0.0.1', port: await findFreePort() });
  return {
    vm: vmId(`vm-${index + 1}`),
    dataCentre: dataCentreId(dataCentre),
    region: 'almaty',
    listen: await listen(),
    peerListen: await listen(),
    adminListen: await listen(),
    peerSecret: randomUUID(),
    objectApi,
    vmList,
    weightStore: undefined,
    limits: { maxBodyBytes: 1_000_000, drainTimeoutMs: 20_000, unconfirmedKeysMs: 3_600_000 },
  };
}

/** Waits until all nodes are ready: they have the configuration and know a quota ring. */
async function waitUntilReady(nodes: readonly DemoNode[]): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  while (!nodes.every(({ node }) => node.isReady())) {
    if (performance.now() > deadline) throw new Error('the nodes did not become ready in 20 s');
    await sleep(READY_POLL_INTERVAL_MS);
  }
}

/** Starts stand-ins and nodes; resolves when all nodes are ready. */
export async function startDemoSite(): Promise<DemoSite> {
  const objectStandin = await startObjectApi(0);
  const vmList = await startVmList(0);
  const { engines, plainUpstreams, upstreams } = await startUpstreams();
  const objectApi = createHttpObjectApi(objectStandin.url);
  const keys = await writeConfiguration(objectApi, upstreams);
  const peerSecret = randomUUID();
  const nodes: DemoNode[] = [];
  for (let i = 0; i < DATA_CENTRES.length * NODES_PER_DATA_CENTRE; i += 1) {
    const settings = {
      ...(await createSettings(i, objectStandin.url, vmList.url)),
      peerSecret,
    };
    vmList.putVm({
      id: settings.vm,
      dataCentre: settings.dataCentre,
      peerAddress: `127.0.0.1:${settings.peerListen.port}`,
      state: 'live',
    });
    const node = createNode(settings, { ...createHttpPorts(settings), logSink: () => {} });
    nodes.push({
      node,
      dataCentre: settings.dataCentre,
      url: `http://127.0.0.1:${settings.listen.port}`,
      admin: `http://127.0.0.1:${settings.adminListen.port}`,
    });
  }
  await Promise.all(nodes.map(({ node }) => node.start()));
  await waitUntilReady(nodes);
  return {
    objectApi,
    nodes,
    engines,
    plainUpstreams,
    keys,
    stop: async () => {
      await Promise.all(nodes.map(({ node }) => node.stop()));
      const standins = [objectStandin, vmList, ...engines, ...plainUpstreams.values()];
      await Promise.all(standins.map((standin) => standin.stop()));
    },
  };
}
