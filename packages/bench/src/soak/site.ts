/** Defines the simulated site: data centres, VMs, pools, routes, organisations and tenant keys. */
import { createHash } from 'node:crypto';
import { dataCentreId, keyDigest, organisationId, vmId } from '@hibiscusbank/core';
import type { VmId } from '@hibiscusbank/core';
import { configurationKeys } from '@hibiscusbank/configuration';
import type { Organisation, TenantKey } from '@hibiscusbank/configuration';
import type { NodeSettings, PoolEntry, RouteEntry, UpstreamEntry } from '@hibiscusbank/settings';
import type { ObjectTable } from '@hibiscusbank/standins';
import { createPoolEntry, createRouteEntry, createUpstreamEntry } from '../harness/tables.js';

export const DATA_CENTRES = ['ost-a', 'ost-b', 'ost-c'] as const;
const VMS_PER_DATA_CENTRE = 2;
export const MODEL = 'scribe';

export interface SoakVm {
  readonly id: VmId;
  readonly dataCentre: string;
}

export const VMS: readonly SoakVm[] = DATA_CENTRES.flatMap((dataCentre) =>
  Array.from({ length: VMS_PER_DATA_CENTRE }, (_, index) => ({
    id: vmId(`${dataCentre}-${index + 1}`),
    dataCentre,
  })),
);

/** The traffic of `heavy` exceeds its rate several times. */
export const ORGANISATIONS: readonly Organisation[] = [
  { id: organisationId('large'), ratePerS: 3_000, burst: 6_000 },
  { id: organisationId('small'), ratePerS: 600, burst: 1_800 },
  { id: organisationId('heavy'), ratePerS: 90, burst: 600 },
];

export interface SoakKey {
  readonly text: string;
  readonly entry: TenantKey;
}

const KEYS_PER_ORGANISATION = 4;

export const KEYS: readonly SoakKey[] = ORGANISATIONS.flatMap((organisation) =>
  Array.from({ length: KEYS_PER_ORGANISATION }, (_, index) => {
    const text = `hb-soak-${organisation.id}-${index}`;
    const digest = keyDigest(createHash('sha256').update(text).digest('hex'));
    return {
      text,
      entry: { digest, organisation: organisation.id, withdrawn: false, hint: text.slice(0, 8) },
    };
  }),
);

const createEngineEntry = (
  dataCentre: string,
  role: 'prefill' | 'decode',
  index: number,
): UpstreamEntry =>
  createUpstreamEntry(`${dataCentre}-${role}-${index}`, MODEL, {
    role,
    dataCentre: dataCentreId(dataCentre),
    address: `http://${dataCentre}-${role}-${index}`,
    capacity: 6,
    memoryBlocks: 40,
    coldLimit: 2,
    coldStepMs: 1_000,
  });

const createPlainEntry = (dataCentre: string, index: number): UpstreamEntry =>
  createUpstreamEntry(`${dataCentre}-desk-${index}`, 'desk', {
    dataCentre: dataCentreId(dataCentre),
    address: `http://${dataCentre}-desk-${index}`,
    capacity: 8,
    memoryBlocks: 0,
    coldLimit: 2,
    coldStepMs: 4_000,
  });

export const POOLS: readonly PoolEntry[] = [
  createPoolEntry(
    MODEL,
    'model',
    DATA_CENTRES.flatMap((dc) => [
      createEngineEntry(dc, 'prefill', 1),
      createEngineEntry(dc, 'decode', 1),
      createEngineEntry(dc, 'decode', 2),
    ]),
  ),
  createPoolEntry(
    'desk',
    'plain',
    DATA_CENTRES.flatMap((dc) => [createPlainEntry(dc, 1), createPlainEntry(dc, 2)]),
  ),
];

const organisations = ORGANISATIONS.map(({ id }) => id);

export const ROUTES: readonly RouteEntry[] = [
  createRouteEntry('chat', MODEL, organisations, { timeLimitMs: 30_000 }),
  createRouteEntry('plans', 'desk', organisations, {
    path: '/plans/*',
    methods: ['GET'],
    requestCost: 20,
    timeLimitMs: 15_000,
  }),
  createRouteEntry('bookings', 'desk', organisations, {
    path: '/bookings',
    methods: ['POST'],
    idempotent: false,
    urgency: 'patient',
    requestCost: 20,
    timeLimitMs: 15_000,
  }),
];

/** Writes the initial configuration to the platform store, before the first node starts. */
export function writeConfiguration(table: ObjectTable): void {
  const put = (key: string, value: unknown): void => {
    const copy = JSON.parse(JSON.stringify(value)) as unknown;
    const condition = { ifVersion: undefined, ifAbsent: false };
    table.write({ key, value: copy, writeId: 'operator', deleted: false, ...condition });
  };
  put(configurationKeys.routes, ROUTES);
  for (const pool of POOLS) put(configurationKeys.pool(pool.id), pool);
  for (const organisation of ORGANISATIONS) {
    put(configurationKeys.organisation(organisation.id), organisation);
  }
  for (const key of KEYS) put(configurationKeys.tenantKey(key.entry.digest), key.entry);
}

/** Returns the settings of the node on a VM. */
export function createSettings(vm: SoakVm): NodeSettings {
  const address = { host: vm.id, port: 7000 };
  return {
    vm: vm.id,
    dataCentre: dataCentreId(vm.dataCentre),
    region: 'ostalpen',
    listen: address,
    peerListen: address,
    adminListen: address,
    peerSecret: 'soak',
    objectApi: 'http://platform',
    vmList: 'http://platform',
    weightStore: undefined,
    limits: {
      maxBodyBytes: 1_000_000,
      drainTimeoutMs: 30_000,
      unconfirmedKeysMs: 3_600_000,
    },
  };
}
