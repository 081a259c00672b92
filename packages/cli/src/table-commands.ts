/** Command line of `check`, `get` and `apply`. */
import {
  command,
  flag,
  oneOf,
  option,
  optional,
  positional,
  restPositionals,
  string,
} from 'cmd-ts';
import { createError } from '@hibiscusbank/core';
import { applyPools } from './apply-pools.js';
import { applyRoutes } from './apply-routes.js';
import { checkFiles } from './check-command.js';
import type { CommandRunner } from './command-runner.js';
import { ifRevisionOption, outputOptions, platformOptions } from './common-options.js';
import { getTable } from './get-command.js';

const table = positional({ type: oneOf(['routes', 'pools'] as const), displayName: 'TABLE' });

/** Creates `check`, `get` and `apply`. */
export function createTableCommands({ runWithPorts }: CommandRunner) {
  return {
    check: command({
      name: 'check',
      description: 'Check settings and tables; list every fault.',
      args: {
        ...outputOptions,
        kind: option({
          type: optional(oneOf(['settings', 'routes', 'pools'] as const)),
          long: 'as',
          description: 'kind of the files; detected from their sections by default',
        }),
        files: restPositionals({ type: string, displayName: 'FILE' }),
      },
      handler: (args) =>
        runWithPorts(args, async (ports, output) => {
          if (args.files.length === 0) throw createError('invalid_request', 'give a FILE to check');
          await checkFiles(args, ports, output);
        }),
    }),
    get: command({
      name: 'get',
      description: 'Print the routes or pools table as INI, with its revision.',
      args: { ...platformOptions, table },
      handler: (args) => runWithPorts(args, (ports, output) => getTable(args.table, ports, output)),
    }),
    apply: command({
      name: 'apply',
      description: 'Replace the routes or pools table with a file.',
      args: {
        ...platformOptions,
        ifRevision: ifRevisionOption,
        dryRun: flag({ long: 'dry-run', description: 'print the changes without writing them' }),
        prune: flag({ long: 'prune', description: 'remove pools that are not in the file' }),
        table,
        file: positional({ type: string, displayName: 'FILE' }),
      },
      handler: (args) =>
        runWithPorts(args, (ports, output) =>
          args.table === 'routes'
            ? applyRoutes(args, ports, output)
            : applyPools(args, ports, output),
        ),
    }),
  };
}
