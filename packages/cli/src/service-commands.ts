/** Command line of `dc`, `vm`, `upstream`, `status` and `explain`. */
import { createError } from '@hibiscusbank/core';
import type { DrainKind } from '@hibiscusbank/configuration';
import { command, option, optional, positional, string, subcommands } from 'cmd-ts';
import type { CommandRunner } from './command-runner.js';
import { adminOption, platformOptions, vmListOption } from './common-options.js';
import { drainKindLabels, setDrain } from './drain-commands.js';
import { explainPath, explainRequest } from './explain-command.js';
import { showStatus } from './status-command.js';

const optionalText = (long: string, description: string) =>
  option({ type: optional(string), long, description });

/** Creates `dc`, `vm` or `upstream` with `out` and `in`. */
export function createDrainCommands({ runWithPorts }: CommandRunner, kind: DrainKind) {
  const createDirectionCommand = (direction: 'out' | 'in', description: string) =>
    command({
      name: direction,
      description,
      args: {
        ...platformOptions,
        vmList: vmListOption,
        name: positional({ type: string, displayName: 'NAME' }),
      },
      handler: (args) =>
        runWithPorts(args, (ports, output) =>
          setDrain({ kind, direction, name: args.name }, ports, output),
        ),
    });
  return subcommands({
    name: kind,
    description: `Take out of service or return to service: ${drainKindLabels[kind]}.`,
    cmds: {
      out: createDirectionCommand('out', 'Take out of service.'),
      in: createDirectionCommand('in', 'Return to service.'),
    },
  });
}

/** Creates `status` and `explain`. */
export function createInspectionCommands({ runWithPorts }: CommandRunner) {
  return {
    status: command({
      name: 'status',
      description: 'Show revision, readiness, load, balances and violations of nodes.',
      args: { ...platformOptions, admin: adminOption },
      handler: (args) => runWithPorts(args, (ports, output) => showStatus(ports, output)),
    }),
    explain: command({
      name: 'explain',
      description: 'Explain how a request would be routed, or how a past request was routed.',
      args: {
        ...platformOptions,
        admin: adminOption,
        request: optionalText('request', 'id of a past request'),
        org: optionalText('org', 'organisation of the caller'),
        path: optionalText('path', 'path of a request'),
        method: option({ type: string, long: 'method', defaultValue: () => 'POST' }),
        model: optionalText('model', 'model named in the body'),
      },
      handler: (args) =>
        runWithPorts(args, (ports, output) => {
          const { request, path } = args;
          if (request !== undefined) return explainRequest(request, ports, output);
          if (path !== undefined) return explainPath({ ...args, path }, ports, output);
          throw createError('invalid_request', 'give --request ID, or --path PATH with --org NAME');
        }),
    }),
  };
}
