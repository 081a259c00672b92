/** `hibiscusbank apply pools`: writes the pools that changed, each as its own object. */
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
import { present } from './output.js';
import type { Output } from './output.js';
import type { CliPorts } from './ports.js';

export interface ApplyPoolsArgs extends ApplyArgs {
  /** Remove the pools that are not in the file. */
  readonly prune: boolean;
}

/** Edits that turn the stored pools into the new ones; removals come last. */
function planEdits(stored: StoredConfiguration, pools: readonly PoolEntry[]): Edit[] {
  const writes = pools.flatMap((pool): Edit[] => {
    const key = configurationKeys.pool(pool.id);
    const current = stored.pools.find((object) => object.key === key);
    const before = current === undefined ? [] : [current.value];
    if (diffPools(before, [pool]).length === 0) return [];
    return [{ key, value: pool, base: current?.version ?? 0 }];
  });
  const keys = pools.map(({ id }) => configurationKeys.pool(id));
  const removals = stored.pools
    .filter(({ key }) => !keys.includes(key))
    .map(({ key, version }) => ({ key, value: undefined, base: version }));
  return [...writes, ...removals];
}

function checkPrune(edits: readonly Edit[], args: ApplyPoolsArgs): void {
  const gone = edits
    .filter(({ value }) => value === undefined)
    .map(({ key }) => key.slice(POOLS_PREFIX.length));
  if (gone.length === 0 || args.prune || args.dryRun) return;
  throw createError(
    'invalid_request',
    `${args.file} lacks pools that are in force: ${gone.join(', ')}; ` +
      'add them, or remove them with --prune',
  );
}

/** The routes in force must still fit; a route to a removed pool would refuse its callers. */
function checkRoutesInForce(stored: StoredConfiguration, pools: readonly PoolEntry[]): void {
  const text = formatRoutes(stored.routes.value);
  unwrap(parseRoutes(text, { file: 'routes in force', pools }));
}

const listKeys = (edits: readonly Edit[]): string => edits.map(({ key }) => key).join(', ');

/** Writes one object after the other; a failure says how far it came. */
async function writeAll(ports: CliPorts, edits: readonly Edit[]): Promise<string[]> {
  const notes: string[] = [];
  for (const [index, edit] of edits.entries()) {
    try {
      notes.push(...describeReadBack(await editObject(ports, edit)));
    } catch (thrown) {
      const error = toRouterError(thrown);
      const done = edits.slice(0, index);
      const open = edits.slice(index);
      const progress = `applied: ${listKeys(done) || 'none'}; not applied: ${listKeys(open)}`;
      throw createError(error.kind, `${error.message}\n${progress}; the command can be repeated`, {
        info: { applied: done.map(({ key }) => key), notApplied: open.map(({ key }) => key) },
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
  checkPrune(edits, args);
  checkRoutesInForce(stored, pools);
  const before = stored.pools.map(({ value }) => value);
  const changes = diffPools(before, pools);
  if (edits.length === 0 || args.dryRun) {
    const outcome = edits.length === 0 ? 'no change' : 'dry run: nothing written';
    present(output, { changes, written: false }, [...changes, outcome]);
    return;
  }
  const notes = await writeAll(ports, edits);
  present(output, { changes, written: true, objects: edits.map(({ key }) => key) }, [
    ...changes,
    ...notes,
    `applied ${edits.length} pool(s)`,
  ]);
}
