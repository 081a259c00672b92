/** Checks at the end of a run that every node has the configuration of the platform. */
import { isDeepStrictEqual } from 'node:util';
import { configurationKeys } from '@hibiscusbank/configuration';
import type { TenantKey } from '@hibiscusbank/configuration';
import type { RouterNode } from '@hibiscusbank/node';
import { dataCentreId } from '@hibiscusbank/core';
import { DATA_CENTRES, KEYS, POOLS, VMS } from './site.js';
import type { World } from './world.js';

type Found = { readonly value: unknown } | undefined;

/** Names what differs between a node and the platform, after all drains have ended. */
function listDifferences({ table }: World, { configuration }: RouterNode): readonly string[] {
  const read = (key: string): unknown => (table.get(key) as Found)?.value;
  const differs = (inForce: unknown, key: string): string[] =>
    isDeepStrictEqual(JSON.parse(JSON.stringify(inForce ?? null)), read(key)) ? [] : [key];
  const pools = POOLS.flatMap(({ id }) =>
    differs(configuration.pools().get(id), configurationKeys.pool(id)),
  );
  const keys = KEYS.flatMap(({ entry: { digest } }) => {
    const key = configurationKeys.tenantKey(digest);
    const { withdrawn } = read(key) as TenantKey;
    return (configuration.findKey(digest) === undefined) === withdrawn ? [] : [key];
  });
  const drains = [
    ...DATA_CENTRES.filter((name) => configuration.isDataCentreOut(dataCentreId(name))),
    ...VMS.map(({ id }) => id).filter(configuration.isVmOut),
    ...POOLS.flatMap(({ upstreams }) => upstreams)
      .filter(({ id, dataCentre }) => configuration.isUpstreamOut(id, dataCentre))
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
 * Checks all nodes. The revision of a node is that of its entries, so an object that was written and
 * removed while no node could see it leaves no trace; the contents are compared in full instead.
 */
export function checkConfiguration(world: World): void {
  const { table, fleet, journal } = world;
  const latest = Math.max(...table.list('config/').map(({ version }) => version));
  const revisions = VMS.map((vm) => fleet.find(vm)?.node.configuration.revision() ?? 0);
  if (new Set(revisions).size > 1 || Math.min(...revisions) < latest) {
    journal.fail('same_revision', `nodes ${revisions.join(' ')}, latest object ${latest}`);
  }
  for (const vm of VMS) {
    const node = fleet.find(vm)?.node;
    if (!node?.isReady()) journal.fail('ready_again', `${vm.id} is not ready`);
    const differences = node === undefined ? [] : listDifferences(world, node);
    if (differences.length > 0) {
      journal.fail('platform_configuration', `${vm.id} differs in ${differences.join(', ')}`);
    }
  }
}
