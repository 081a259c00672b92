/** Checks at the end of a run that the configuration of every node equals that of the platform. */
import { isDeepStrictEqual } from 'node:util';
import { configurationKeys } from '@hibiscusbank/configuration';
import type { TenantKey } from '@hibiscusbank/configuration';
import type { RouterNode } from '@hibiscusbank/node';
import { dataCentreId } from '@hibiscusbank/core';
import { DATA_CENTRES, KEYS, POOLS, VMS } from './site.js';
import type { Simulation } from './simulation.js';

type StoredObject = { readonly value: unknown } | undefined;

/** Lists the configuration entries in which a node differs from the platform; expects that no drain is active. */
function listDifferences({ table }: Simulation, { configuration }: RouterNode): readonly string[] {
  const readPlatformValue = (key: string): unknown => (table.get(key) as StoredObject)?.value;
  const differs = (nodeValue: unknown, key: string): string[] =>
    isDeepStrictEqual(JSON.parse(JSON.stringify(nodeValue ?? null)), readPlatformValue(key))
      ? []
      : [key];
  const pools = POOLS.flatMap(({ id }) =>
    differs(configuration.pools().get(id), configurationKeys.pool(id)),
  );
  const keys = KEYS.flatMap(({ entry: { digest } }) => {
    const key = configurationKeys.tenantKey(digest);
    const { withdrawn } = readPlatformValue(key) as TenantKey;
    return (configuration.findKey(digest) === undefined) === withdrawn ? [] : [key];
  });
  const drains = [
    ...DATA_CENTRES.filter((name) => configuration.isDataCentreOutOfService(dataCentreId(name))),
    ...VMS.map(({ id }) => id).filter(configuration.isVmOutOfService),
    ...POOLS.flatMap(({ upstreams }) => upstreams)
      .filter(({ id, dataCentre }) => configuration.isUpstreamOutOfService(id, dataCentre))
      .map(({ id }) => id),
  ].map((name) => `drain of ${name}`);
  return [
    ...differs(configuration.routes(), configurationKeys.routes),
    ...pools,
    ...keys,
    ...drains,
  ];
}

/**
 * Checks revision, readiness and configuration of all nodes. The contents are compared in full, because
 * revisions aren't enough: the revision of a node is the highest that it has applied, which may lack an object that
 * was written and removed while no node could read it.
 */
export function checkConfiguration(simulation: Simulation): void {
  const { table, fleet, recorder } = simulation;
  const latest = Math.max(...table.list('config/').map(({ version }) => version));
  const revisions = VMS.map((vm) => fleet.find(vm)?.node.configuration.revision() ?? 0);
  if (new Set(revisions).size > 1 || Math.min(...revisions) < latest) {
    recorder.fail('same_revision', `nodes ${revisions.join(' ')}, latest object ${latest}`);
  }
  for (const vm of VMS) {
    const node = fleet.find(vm)?.node;
    if (!node?.isReady()) recorder.fail('ready_again', `${vm.id} is not ready`);
    const differences = node === undefined ? [] : listDifferences(simulation, node);
    if (differences.length > 0) {
      recorder.fail('platform_configuration', `${vm.id} differs in ${differences.join(', ')}`);
    }
  }
}
