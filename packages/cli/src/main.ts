#!/usr/bin/env node
/** Entry point of the `hibiscusbank` command. */
// roarr reads ROARR_LOG when it is loaded, so this import stays first.
import './enable-logging.js';
import { runApp } from './app.js';
import { createPorts } from './ports.js';

const [, , ...argv] = process.argv;

const exitCode = await runApp(argv, {
  print: (line) => process.stdout.write(`${line}\n`),
  printError: (line) => process.stderr.write(`${line}\n`),
  createPorts: (args) => createPorts(args, process.env),
});

if (exitCode !== undefined) {
  process.exitCode = exitCode;
  // Open keep-alive connections would otherwise keep the daemon process running after shutdown.
  if (argv[0] === 'node') process.exit();
}
