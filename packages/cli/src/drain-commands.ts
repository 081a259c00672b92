/** `hibiscusbank dc|vm|upstream out|in`: takes a target out of service or returns it to service. */
import { createError, unwrap } from '@hibiscusbank/core';
import { configurationKeys } from '@hibiscusbank/configuration';
import type { DrainKind } from '@hibiscusbank/configuration';
import type { ListedVm, VmList } from '@hibiscusbank/object-api';
import { readConfiguration } from './configuration-reader.js';
import type { StoredConfiguration } from './configuration-reader.js';
import { describeReadBack, editObject } from './edit-object.js';
import { checkName } from './known-names.js';
import { printResult } from './output.js';
import type { Output } from './output.js';
import type { CliPorts } from './ports.js';

export interface DrainArgs {
  readonly kind: DrainKind;
  readonly direction: 'out' | 'in';
  readonly name: string;
}

type DrainPorts = Pick<CliPorts, 'objectApi' | 'vmList' | 'createWriteId'>;

/** Display name of each kind. */
export const drainKindLabels: Readonly<Record<DrainKind, string>> = {
  dc: 'data centre',
  vm: 'VM',
  upstream: 'upstream',
};

async function readVms(vmList: VmList | undefined): Promise<readonly ListedVm[]> {
  return vmList === undefined ? [] : unwrap(await vmList.read());
}

/** Returns the names in the pools table, the VM list, the quota rings and the existing drains. */
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
  const outOfService = stored.drains
    .filter((name) => name.startsWith(`${kind}/`))
    .map((name) => name.slice(kind.length + 1));
  return [...new Set([...names[kind], ...outOfService])].sort();
}

/** Throws `invalid_request` if no VM is known and no address of the VM list is configured. */
function checkVmSources(kind: DrainKind, known: readonly string[], ports: DrainPorts): void {
  if (kind !== 'vm' || known.length > 0 || ports.vmList !== undefined) return;
  throw createError(
    'invalid_request',
    'no VM is known; give --config FILE, --vm-list IP:port or HIBISCUSBANK_VM_LIST',
  );
}

async function readVersion(ports: DrainPorts, key: string): Promise<number> {
  return unwrap(await ports.objectApi.get(key))?.version ?? 0;
}

/** Takes a target out of service or returns it. A repeated call changes nothing and succeeds. */
export async function setDrain(
  { kind, direction, name }: DrainArgs,
  ports: DrainPorts,
  output: Output,
): Promise<void> {
  const stored = await readConfiguration(ports.objectApi);
  const isOutOfService = stored.drains.includes(`${kind}/${name}`);
  const label = `${drainKindLabels[kind]} ${name}`;
  const state = direction === 'out' ? 'out of service' : 'in service';
  if (!isOutOfService) {
    const vms = kind === 'upstream' ? [] : await readVms(ports.vmList);
    const known = listKnownNames(kind, stored, vms);
    checkVmSources(kind, known, ports);
    checkName(drainKindLabels[kind], name, known);
  }
  if (isOutOfService === (direction === 'out')) {
    printResult(output, { kind, name, state, changed: false }, [`${label}: already ${state}`]);
    return;
  }
  const key = configurationKeys.drain(kind, name);
  const baseVersion = isOutOfService ? await readVersion(ports, key) : 0;
  const value = direction === 'out' ? { kind, name } : undefined;
  const result = await editObject(ports, { key, value, baseVersion });
  printResult(output, { kind, name, state, changed: true }, [
    ...describeReadBack(result),
    `${label}: ${state}`,
  ]);
}
