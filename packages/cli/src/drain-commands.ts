/** `hibiscusbank dc|vm|upstream out|in`: takes parts out of service and returns them. */
import { createError, unwrap } from '@hibiscusbank/core';
import { configurationKeys } from '@hibiscusbank/configuration';
import type { DrainKind } from '@hibiscusbank/configuration';
import type { ListedVm, VmList } from '@hibiscusbank/object-api';
import { readConfiguration } from './configuration-reader.js';
import type { StoredConfiguration } from './configuration-reader.js';
import { describeReadBack, editObject } from './edit-object.js';
import { checkName } from './known-names.js';
import { present } from './output.js';
import type { Output } from './output.js';
import type { CliPorts } from './ports.js';

export interface DrainArgs {
  readonly kind: DrainKind;
  readonly direction: 'out' | 'in';
  readonly name: string;
}

type DrainPorts = Pick<CliPorts, 'objectApi' | 'vmList' | 'createWriteId'>;

/** What operators call each kind. */
export const kindTitles: Readonly<Record<DrainKind, string>> = {
  dc: 'data centre',
  vm: 'VM',
  upstream: 'upstream',
};

async function readVms(vmList: VmList | undefined): Promise<readonly ListedVm[]> {
  return vmList === undefined ? [] : unwrap(await vmList.read());
}

/** Names from the tables, the VM list, the quota rings, and what is out already. */
function listKnownNames(
  kind: DrainKind,
  stored: StoredConfiguration,
  vms: readonly ListedVm[],
): string[] {
  const upstreams = stored.pools.flatMap(({ value }) => value.upstreams);
  const names: Record<DrainKind, readonly string[]> = {
    dc: [
      ...upstreams.map(({ dataCentre }) => dataCentre),
      ...stored.rings.map(({ dataCentre }) => dataCentre),
      ...vms.map(({ dataCentre }) => dataCentre),
    ],
    vm: [...stored.rings.flatMap(({ members }) => members), ...vms.map(({ id }) => id)],
    upstream: upstreams.map(({ id }) => id),
  };
  const out = stored.drains
    .filter((name) => name.startsWith(`${kind}/`))
    .map((name) => name.slice(kind.length + 1));
  return [...new Set([...names[kind], ...out])].sort();
}

/** Objects of VMs are named by the VM list, so without its address a VM cannot be checked. */
function checkSources(kind: DrainKind, known: readonly string[], ports: DrainPorts): void {
  if (kind !== 'vm' || known.length > 0 || ports.vmList !== undefined) return;
  throw createError(
    'invalid_request',
    'no VM is known; give --config FILE, --vm-list IP:port or HIBISCUSBANK_VM_LIST',
  );
}

async function readVersion(ports: DrainPorts, key: string): Promise<number> {
  return unwrap(await ports.objectApi.get(key))?.version ?? 0;
}

/** Takes out or returns. A repeat changes nothing and succeeds. */
export async function setDrain(
  { kind, direction, name }: DrainArgs,
  ports: DrainPorts,
  output: Output,
): Promise<void> {
  const stored = await readConfiguration(ports.objectApi);
  const isOut = stored.drains.includes(`${kind}/${name}`);
  const what = `${kindTitles[kind]} ${name}`;
  const state = direction === 'out' ? 'out of service' : 'in service';
  if (!isOut) {
    const vms = kind === 'upstream' ? [] : await readVms(ports.vmList);
    const known = listKnownNames(kind, stored, vms);
    checkSources(kind, known, ports);
    checkName(kindTitles[kind], name, known);
  }
  if (isOut === (direction === 'out')) {
    present(output, { kind, name, state, changed: false }, [`${what}: already ${state}`]);
    return;
  }
  const key = configurationKeys.drain(kind, name);
  const base = isOut ? await readVersion(ports, key) : 0;
  const value = direction === 'out' ? { kind, name } : undefined;
  const result = await editObject(ports, { key, value, base });
  present(output, { kind, name, state, changed: true }, [
    ...describeReadBack(result),
    `${what}: ${state}`,
  ]);
}
