/** Edits of the configuration as an operator's tool makes them, directly at the platform. */
import { configurationKeys } from '@hibiscusbank/configuration';
import { POOLS, ROUTES } from './site.js';
import type { SoakKey } from './site.js';
import type { World } from './world.js';

export interface Operator {
  drain(kind: 'dc' | 'vm' | 'upstream', name: string): void;
  endDrains(): void;
  withdraw(key: SoakKey): void;
  editTables(choice: number): void;
}

const PATIENCES_MS = [3_000, 4_000, 5_000];
const CAPACITIES = [6, 7, 8];

function pickFrom<T>(items: readonly T[], choice: number): T {
  return items[choice % items.length] as T;
}

/** Creates the operator of a site. */
export function createOperator({ table, work, journal }: World): Operator {
  const write = (key: string, value: unknown, deleted = false): void => {
    const copy = value === undefined ? undefined : (JSON.parse(JSON.stringify(value)) as unknown);
    const condition = { ifVersion: undefined, ifAbsent: false };
    table.write({ key, value: copy, deleted, writeId: 'operator', ...condition });
    journal.count('edits');
  };
  return {
    drain: (kind, name) => {
      write(configurationKeys.drain(kind, name), {});
      work.setOut(`${kind}/${name}`);
    },
    endDrains: () => {
      for (const { key } of table.list('config/drains/')) {
        write(key, undefined, true);
        work.setIn(key.slice('config/drains/'.length));
      }
    },
    withdraw: (key) => {
      write(configurationKeys.tenantKey(key.entry.digest), { ...key.entry, withdrawn: true });
      work.setWithdrawn(key.text);
    },
    editTables: (choice) => {
      if (choice % 2 === 0) {
        const patienceMs = pickFrom(PATIENCES_MS, choice);
        const routes = ROUTES.map((route) => ({ ...route, patienceMs }));
        write(configurationKeys.routes, routes);
        return;
      }
      const [, desk] = POOLS;
      if (desk === undefined) return;
      const capacity = pickFrom(CAPACITIES, choice);
      const edited = desk.upstreams.map((upstream) => ({ ...upstream, capacity }));
      write(configurationKeys.pool(desk.id), { ...desk, upstreams: edited });
    },
  };
}
