/** Edits the configuration directly in the platform store, as an operator's tool does. */
import { configurationKeys } from '@hibiscusbank/configuration';
import { POOLS, ROUTES } from './site.js';
import type { SoakKey } from './site.js';
import type { Simulation } from './simulation.js';

export interface Operator {
  drain(kind: 'dc' | 'vm' | 'upstream', name: string): void;
  endDrains(): void;
  withdraw(key: SoakKey): void;
  editConfiguration(choice: number): void;
}

const MAX_WAITS_MS = [3_000, 4_000, 5_000];
const UPSTREAM_CAPACITIES = [6, 7, 8];

function pickFrom<T>(items: readonly T[], choice: number): T {
  return items[choice % items.length] as T;
}

export function createOperator({ table, work, recorder }: Simulation): Operator {
  const write = (key: string, value: unknown, deleted = false): void => {
    const copy = value === undefined ? undefined : (JSON.parse(JSON.stringify(value)) as unknown);
    const condition = { ifVersion: undefined, ifAbsent: false };
    table.write({ key, value: copy, deleted, writeId: 'operator', ...condition });
    recorder.count('edits');
  };
  return {
    drain: (kind, name) => {
      write(configurationKeys.drain(kind, name), {});
      work.recordDrain(`${kind}/${name}`);
    },
    endDrains: () => {
      for (const { key } of table.list('config/drains/')) {
        write(key, undefined, true);
        work.recordDrainEnd(key.slice('config/drains/'.length));
      }
    },
    withdraw: (key) => {
      write(configurationKeys.tenantKey(key.entry.digest), { ...key.entry, withdrawn: true });
      work.recordWithdrawal(key.text);
    },
    editConfiguration: (choice) => {
      if (choice % 2 === 0) {
        const patienceMs = pickFrom(MAX_WAITS_MS, choice);
        const routes = ROUTES.map((route) => ({ ...route, patienceMs }));
        write(configurationKeys.routes, routes);
        return;
      }
      const [, plainPool] = POOLS;
      if (plainPool === undefined) return;
      const capacity = pickFrom(UPSTREAM_CAPACITIES, choice);
      const edited = plainPool.upstreams.map((upstream) => ({ ...upstream, capacity }));
      write(configurationKeys.pool(plainPool.id), { ...plainPool, upstreams: edited });
    },
  };
}
