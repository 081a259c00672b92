/** `hibiscusbank get`: prints a table as INI. */
import { formatPools, formatRoutes } from '@hibiscusbank/settings';
import { readConfiguration } from './configuration-reader.js';
import { printResult } from './output.js';
import type { Output } from './output.js';
import type { CliPorts } from './ports.js';

export type TableName = 'routes' | 'pools';

/** Prints the table and its revision, which `apply --if-revision` accepts. */
export async function getTable(
  table: TableName,
  ports: Pick<CliPorts, 'objectApi'>,
  output: Output,
): Promise<void> {
  const stored = await readConfiguration(ports.objectApi);
  const pools = stored.pools.map(({ value }) => value);
  const entries = table === 'routes' ? stored.routes.value : pools;
  const text = table === 'routes' ? formatRoutes(stored.routes.value) : formatPools(pools);
  printResult(output, { revision: stored.revision, [table]: entries }, [
    `; ${table} at revision ${stored.revision}`,
    text.trimEnd(),
  ]);
}
