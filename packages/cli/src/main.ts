#!/usr/bin/env node
/** Entry point of the `hibiscusbank` command. */
import { run, subcommands } from 'cmd-ts';
import { loadCommand } from './load-command.js';
import { nodeCommand } from './node-command.js';
import { standinCommand } from './standin-command.js';

const app = subcommands({
  name: 'hibiscusbank',
  cmds: { load: loadCommand, node: nodeCommand, standin: standinCommand },
});

await run(app, process.argv.slice(2));
