/** `hibiscusbank apply pools`: writes each changed pool as a separate object. */
import { createError, toRouterError, unwrap } from '@hibiscusbank/core';
import { configurationKeys } from '@hibiscusbank/configuration';
import { diffPools, formatRoutes, parsePools, parseRoutes } from '@hibiscusbank/settings';
import type { PoolEntry } from '@hibiscusbank/settings';
import { checkRevision } from './apply-routes.js';
import type { ApplyArgs } from './apply-routes.js';
import { POOLS_PREFIX, readConfiguration } from './configuration-reader.js';
import type { StoredConfiguration } from './configuration-reader.js';
import { describeReadBack, editObject } from './edit-object.js';
import type { Edit } from './edit-object.js';
import { printResult } from './output.js';
import type { Output } from './output.js';
import type { CliPorts } from './ports.js';

export interface ApplyPoolsArgs extends ApplyArgs {
  /** Whether stored pools that are not in the file are removed. */
  readonly prune: boolean;
}

/** Returns the edits that turn the stored pools into the given ones; removals come last. */
function planEdits(stored: StoredConfiguration, pools: readonly PoolEntry[]): Edit[] {
  const writes = pools.flatMap((pool): Edit[] => {
    const key = configurationKeys.pool(pool.id);
    const current = stored.pools.find((object) => object.key === key);
    const before = current === undefined ? [] : [current.value];
    if (diffPools(before, [pool]).length === 0) return [];
    return [{ key, value: pool, baseVersion: current?.version ?? 0 }];
  });
  const keys = pools.map(({ id }) => configurationKeys.pool(id));
  const removals = stored.pools
    .filter(({ key }) => !keys.includes(key))
    .map(({ key, version }) => ({ key, value: undefined, baseVersion: version }));
  return [...writes, ...removals];
}

function checkRemovalsAllowed(edits: readonly Edit[], args: ApplyPoolsArgs): void {
  const removed = edits
    .filter(({ value }) => value === undefined)
    .map(({ key }) => key.slice(POOLS_PREFIX.length));
  if (removed.length === 0 || args.prune || args.dryRun) return;
  throw createError(
    'invalid_request',
    `${args.file} does not contain the stored pools ${removed.join(', ')}; ` +
      'add them, or remove them with --prune',
  );
}

/** Checks the stored routes against the new pools: a route to a removed pool would fail requests. */
function checkStoredRoutes(stored: StoredConfiguration, pools: readonly PoolEntry[]): void {
  const text = formatRoutes(stored.routes.value);
  unwrap(parseRoutes(text, { file: 'stored routes', pools }));
}

const listKeys = (edits: readonly Edit[]): string => edits.map(({ key }) => key).join(', ');

/** Writes the objects one by one; on failure the error lists which edits were applied. */
async function writeAll(ports: CliPorts, edits: readonly Edit[]): Promise<string[]> {
  const notes: string[] = [];
  for (const [index, edit] of edits.entries()) {
    try {
      notes.push(...describeReadBack(await editObject(ports, edit)));
    } catch (thrown) {
      const error = toRouterError(thrown);
      const applied = edits.slice(0, index);
      const notApplied = edits.slice(index);
      const progress = `applied: ${listKeys(applied) || 'none'}; not applied: ${listKeys(notApplied)}`;
      throw createError(error.kind, `${error.message}\n${progress}; the command can be repeated`, {
        info: {
          applied: applied.map(({ key }) => key),
          notApplied: notApplied.map(({ key }) => key),
        },
      });
    }
  }
  return notes;
}

/** Applies the pools table. Rejects with `invalid_settings`, `conflict`, `platform_unavailable`. */
export async function applyPools(
  args: ApplyPoolsArgs,
  ports: CliPorts,
  output: Output,
): Promise<void> {
  const text = unwrap(await ports.readFile(args.file));
  const pools = unwrap(parsePools(text, args.file));
  const stored = await readConfiguration(ports.objectApi);
  await checkRevision(ports, stored, POOLS_PREFIX, args.ifRevision);
  const edits = planEdits(stored, pools);
  checkRemovalsAllowed(edits, args);
  checkStoredRoutes(stored, pools);
  const before = stored.pools.map(({ value }) => value);
  const changes = diffPools(before, pools);
  if (edits.length === 0 || args.dryRun) {
    const outcome = edits.length === 0 ? 'no change' : 'dry run: nothing written';
    printResult(output, { changes, written: false }, [...changes, outcome]);
    return;
  }
  const notes = await writeAll(ports, edits);
  printResult(output, { changes, written: true, objects: edits.map(({ key }) => key) }, [
    ...changes,
    ...notes,
    `applied ${edits.length} pool(s)`,
  ]);
}
