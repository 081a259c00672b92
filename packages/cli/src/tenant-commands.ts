/** Command line of `org` and `key`. */
import { command, number, option, optional, positional, string, subcommands } from 'cmd-ts';
import { createHttpAdmin } from './admin-client.js';
import type { CommandRunner } from './command-runner.js';
import { platformOptions } from './common-options.js';
import { issueKey, listKeys, withdrawKey } from './key-commands.js';
import { listOrganisations, removeOrganisation, setOrganisation } from './organisation-commands.js';

const name = positional({ type: string, displayName: 'NAME' });

/** Creates the `org` commands. */
export function createOrganisationCommands({ runWithPorts }: CommandRunner) {
  return subcommands({
    name: 'org',
    description: 'Manage organisations, their rates and bursts.',
    cmds: {
      set: command({
        name: 'set',
        description: 'Create an organisation or change its rate and burst.',
        args: {
          ...platformOptions,
          name,
          rate: option({ type: number, long: 'rate', description: 'tokens per second' }),
          burst: option({
            type: number,
            long: 'burst',
            description: 'tokens that may be spent at once',
          }),
        },
        handler: (args) =>
          runWithPorts(args, (ports, output) => setOrganisation(args, ports, output)),
      }),
      list: command({
        name: 'list',
        description: 'List organisations.',
        args: platformOptions,
        handler: (args) => runWithPorts(args, (ports, output) => listOrganisations(ports, output)),
      }),
      remove: command({
        name: 'remove',
        description: 'Remove an organisation that has no valid keys and no routes.',
        args: { ...platformOptions, name },
        handler: (args) =>
          runWithPorts(args, (ports, output) => removeOrganisation(args.name, ports, output)),
      }),
    },
  });
}

/** Creates the `key` commands. */
export function createKeyCommands({ runWithPorts }: CommandRunner) {
  return subcommands({
    name: 'key',
    description: 'Manage tenant keys of organisations.',
    cmds: {
      issue: command({
        name: 'issue',
        description: 'Issue a key and print it once.',
        args: { ...platformOptions, org: option({ type: string, long: 'org' }) },
        handler: (args) => runWithPorts(args, (ports, output) => issueKey(args.org, ports, output)),
      }),
      withdraw: command({
        name: 'withdraw',
        description: 'Withdraw a key.',
        args: {
          ...platformOptions,
          key: positional({ type: string, displayName: 'DIGEST-OR-HINT-OR-KEY' }),
          via: option({
            type: optional(string),
            long: 'via',
            description:
              'admin address of a node that takes the withdrawal; works without the platform',
          }),
        },
        handler: (args) =>
          runWithPorts(args, (ports, output) => {
            const via = args.via === undefined ? undefined : createHttpAdmin(args.via);
            return withdrawKey({ key: args.key, via }, ports, output);
          }),
      }),
      list: command({
        name: 'list',
        description: 'List keys by digest and hint.',
        args: platformOptions,
        handler: (args) => runWithPorts(args, (ports, output) => listKeys(ports, output)),
      }),
    },
  });
}
