/** `hibiscusbank apply routes`: replaces the routes table. */
import { createError, unwrap } from '@hibiscusbank/core';
import { configurationKeys } from '@hibiscusbank/configuration';
import { diffRoutes, findNearest, parseRoutes } from '@hibiscusbank/settings';
import type { RouteEntry } from '@hibiscusbank/settings';
import { checkUnchanged, readConfiguration } from './configuration-reader.js';
import type { StoredConfiguration } from './configuration-reader.js';
import { describeReadBack, editObject } from './edit-object.js';
import { printResult } from './output.js';
import type { Output } from './output.js';
import type { CliPorts } from './ports.js';

export interface ApplyArgs {
  readonly file: string;
  /** The edit is rejected if the table changed after this revision. */
  readonly ifRevision: number | undefined;
  /** Whether the changes are only printed and not written. */
  readonly dryRun: boolean;
}

/** Checks that the table has not changed since the revision on which the operator's edit is based. */
export async function checkRevision(
  ports: Pick<CliPorts, 'objectApi'>,
  stored: StoredConfiguration,
  prefix: string,
  ifRevision: number | undefined,
): Promise<void> {
  if (ifRevision === undefined) return;
  if (!Number.isSafeInteger(ifRevision) || ifRevision < 0 || ifRevision > stored.revision) {
    throw createError(
      'invalid_request',
      `--if-revision ${ifRevision}: the platform is at revision ${stored.revision}; ` +
        'use the revision that "get" printed',
    );
  }
  await checkUnchanged(ports.objectApi, prefix, ifRevision);
}

/** Organisations may be created after their routes, so unknown ones only give warnings. */
function listOrganisationWarnings(
  routes: readonly RouteEntry[],
  stored: StoredConfiguration,
): string[] {
  const known = stored.organisations.map(({ value }) => value.id);
  return routes.flatMap(({ id, access }) => {
    if (access.kind === 'all') return [];
    const unknown = access.organisations.filter((name) => !known.includes(name));
    return unknown.map((name) => {
      const nearest = findNearest(name, known);
      const hint = nearest === undefined ? '' : `; the nearest known one is "${nearest}"`;
      return `warning: route ${id} allows organisation ${name}, which does not exist yet${hint}`;
    });
  });
}

/** Applies the routes table. Rejects with `invalid_settings`, `conflict`, `platform_unavailable`. */
export async function applyRoutes(args: ApplyArgs, ports: CliPorts, output: Output): Promise<void> {
  const text = unwrap(await ports.readFile(args.file));
  const stored = await readConfiguration(ports.objectApi);
  const pools = stored.pools.map(({ value }) => value);
  const routes = unwrap(parseRoutes(text, { file: args.file, pools }));
  await checkRevision(ports, stored, configurationKeys.routes, args.ifRevision);
  for (const warning of listOrganisationWarnings(routes, stored)) output.printError(warning);
  const changes = diffRoutes(stored.routes.value, routes);
  if (changes.length === 0 || args.dryRun) {
    const outcome = changes.length === 0 ? 'no change' : 'dry run: nothing written';
    printResult(output, { changes, written: false }, [...changes, outcome]);
    return;
  }
  const edit = { key: stored.routes.key, value: routes, baseVersion: stored.routes.version };
  const result = await editObject(ports, edit);
  printResult(output, { changes, written: true, revision: result.version }, [
    ...changes,
    ...describeReadBack(result),
    `applied at revision ${result.version}`,
  ]);
}
