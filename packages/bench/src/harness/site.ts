/** A site for benches: stand-ins in this process, nodes as separate processes. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configurationKeys, digestKey } from '@hibiscusbank/configuration';
import type { Organisation } from '@hibiscusbank/configuration';
import { sleep } from '@hibiscusbank/core';
import type { OrganisationId } from '@hibiscusbank/core';
import { createHttpObjectApi } from '@hibiscusbank/object-api';
import type { ObjectApi } from '@hibiscusbank/object-api';
import type { PoolEntry, RouteEntry } from '@hibiscusbank/settings';
import { startObjectApi, startVmList } from '@hibiscusbank/standins';
import type { ObjectApiStandin, VmListStandin } from '@hibiscusbank/standins';
import { request } from 'undici';
import { findFreePorts } from './ports.js';
import { endProcesses, startProcess } from './processes.js';
import type { BenchProcess } from './processes.js';

const CLI = fileURLToPath(import.meta.resolve('@hibiscusbank/cli/main'));
const PEER_SECRET = 'bench-secret-for-loopback';
const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 90_000;
/**
 * Processes are started in batches, since each start of Node.js occupies a core for about a second.
 */
const START_BATCH_SIZE = 8;
const HTTP_OK = 200;

/** One node of a site. Its addresses stay the same across restarts. */
export interface SiteNode {
  readonly vm: string;
  readonly dataCentre: string;
  readonly url: string;
  readonly adminUrl: string;
  process: BenchProcess;
}

export interface SiteSpec {
  readonly dataCentres: readonly string[];
  /** Number of nodes, spread evenly over the data centres. */
  readonly nodes: number;
}

export interface Site {
  readonly objectApi: ObjectApi;
  readonly objectStandin: ObjectApiStandin;
  readonly vmList: VmListStandin;
  readonly nodes: readonly SiteNode[];
  /** Starts the process of a node that has ended. */
  restart(node: SiteNode): void;
  waitUntilReady(nodes?: readonly SiteNode[]): Promise<void>;
  stop(): Promise<void>;
}

interface NodePlan {
  readonly vm: string;
  readonly dataCentre: string;
  readonly ports: readonly number[];
  readonly config: string;
}

function formatSettings(plan: Omit<NodePlan, 'config'>, objectApi: string, vmList: string): string {
  const [listen, peer, admin] = plan.ports;
  return [
    '[node]',
    `vm = ${plan.vm}`,
    `data_centre = ${plan.dataCentre}`,
    'region = bench',
    `listen = 127.0.0.1:${listen}`,
    `peer_listen = 127.0.0.1:${peer}`,
    `admin_listen = 127.0.0.1:${admin}`,
    `peer_secret = ${PEER_SECRET}`,
    '[platform]',
    `object_api = ${objectApi}`,
    `vm_list = ${vmList}`,
    '',
  ].join('\n');
}

async function isReady(node: SiteNode): Promise<boolean> {
  try {
    const res = await request(`${node.adminUrl}/readyz`);
    await res.body.dump();
    return res.statusCode === HTTP_OK;
  } catch {
    return false;
  }
}

/** Waits until a node's admin address responds with any status, up to the timeout. */
async function waitForListener(node: SiteNode): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < deadline) {
    const answered = await request(`${node.adminUrl}/healthz`).then(
      (res) => res.body.dump().then(() => true),
      () => false,
    );
    if (answered) return;
    await sleep(READY_POLL_MS);
  }
}

async function waitForNode(node: SiteNode): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  while (!(await isReady(node))) {
    if (performance.now() > deadline) {
      throw new Error(`node ${node.vm} is not ready: ${node.process.output()}`);
    }
    await sleep(READY_POLL_MS);
  }
}

/** Starts a site without tables, see `writeTables`. */
export async function startSite(spec: SiteSpec): Promise<Site> {
  const directory = await mkdtemp(join(tmpdir(), 'hibiscusbank-bench-'));
  const objectStandin = await startObjectApi(0);
  const vmList = await startVmList(0);
  const ports = await findFreePorts(spec.nodes * 3);
  const plans: NodePlan[] = [];
  for (let i = 0; i < spec.nodes; i += 1) {
    const dataCentre = spec.dataCentres[i % spec.dataCentres.length] ?? 'dc';
    const plan = { vm: `vm-${i + 1}`, dataCentre, ports: ports.slice(i * 3, i * 3 + 3) };
    const config = join(directory, `${plan.vm}.ini`);
    await writeFile(config, formatSettings(plan, objectStandin.url, vmList.url));
    plans.push({ ...plan, config });
  }
  const startNode = (plan: NodePlan): BenchProcess =>
    startProcess(plan.vm, CLI, ['node', '--config', plan.config]);
  const startSiteNode = (plan: NodePlan): SiteNode => {
    const [listen, peer, admin] = plan.ports;
    vmList.putVm({
      id: plan.vm,
      dataCentre: plan.dataCentre,
      peerAddress: `127.0.0.1:${peer}`,
      state: 'live',
    });
    return {
      vm: plan.vm,
      dataCentre: plan.dataCentre,
      url: `http://127.0.0.1:${listen}`,
      adminUrl: `http://127.0.0.1:${admin}`,
      process: startNode(plan),
    };
  };
  const nodes: SiteNode[] = [];
  for (let i = 0; i < plans.length; i += START_BATCH_SIZE) {
    const batch = plans.slice(i, i + START_BATCH_SIZE).map(startSiteNode);
    nodes.push(...batch);
    if (plans.length > START_BATCH_SIZE) await Promise.all(batch.map(waitForListener));
  }
  return {
    objectApi: createHttpObjectApi(objectStandin.url),
    objectStandin,
    vmList,
    nodes,
    restart: (node) => {
      const plan = plans.find(({ vm }) => vm === node.vm);
      if (plan !== undefined) node.process = startNode(plan);
    },
    waitUntilReady: async (waitFor = nodes) => {
      await Promise.all(waitFor.map(waitForNode));
    },
    stop: async () => {
      await endProcesses(nodes.map((node) => node.process));
      await Promise.all([objectStandin.stop(), vmList.stop()]);
      await rm(directory, { recursive: true, force: true });
    },
  };
}

export interface SiteTables {
  readonly routes: readonly RouteEntry[];
  readonly pools: readonly PoolEntry[];
  readonly organisations: readonly Organisation[];
}

/** Returns the tenant key of an organisation. */
export function tenantKeyOf(organisation: OrganisationId): string {
  return `sk-bench-${organisation}`;
}

async function putObject(api: ObjectApi, key: string, value: unknown): Promise<void> {
  const written = await api.put(key, value, { writeId: `bench-${key}` });
  if (written.isErr()) throw written.error;
}

/** Writes the routes, the pools, the organisations and one tenant key for each organisation. */
export async function writeTables(api: ObjectApi, tables: SiteTables): Promise<void> {
  for (const organisation of tables.organisations) {
    const digest = digestKey(tenantKeyOf(organisation.id));
    await putObject(api, configurationKeys.organisation(organisation.id), organisation);
    await putObject(api, configurationKeys.tenantKey(digest), {
      digest,
      organisation: organisation.id,
      withdrawn: false,
      hint: 'sk-b',
    });
  }
  for (const pool of tables.pools) await putObject(api, configurationKeys.pool(pool.id), pool);
  await putObject(api, configurationKeys.routes, tables.routes);
}
