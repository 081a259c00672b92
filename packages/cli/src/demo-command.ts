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
    description: 'Run a small deployment in one process and report the results of its checks.',
    args: outputOptions,
    handler: (args) =>
      run(args, async ({ print }) =>
        (await runDemo(print)) ? exitCodes.success : exitCodes.failed,
      ),
  });
}
