/** Command line of `demo`. */
import { command } from 'cmd-ts';
import type { CommandRunner } from './command-runner.js';
import { outputOptions } from './common-options.js';
import { runDemo } from './demo/run-demo.js';
import { exitCodes } from './exit-codes.js';

/** Creates `demo`. */
export function createDemoCommand({ run }: CommandRunner) {
  return command({
    name: 'demo',
    description: 'Run a small site in one process and report what happened.',
    args: outputOptions,
    handler: (args) =>
      run(args, async ({ print }) => ((await runDemo(print)) ? exitCodes.done : exitCodes.failed)),
  });
}
