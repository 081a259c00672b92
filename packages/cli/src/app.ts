/** Assembles the command line. */
import { command, option, runSafely, string, subcommands } from 'cmd-ts';
import { createCommandRunner } from './command-runner.js';
import type { CommandHost } from './command-runner.js';
import { outputOptions } from './common-options.js';
import { createDemoCommand } from './demo-command.js';
import { createExplainLogCommand } from './explain-log-command.js';
import { createExplainPlacementCommand } from './explain-placement-command.js';
import { exitCodes } from './exit-codes.js';
import type { ExitCode } from './exit-codes.js';
import { processDaemonPorts, runDaemon } from './node-command.js';
import { createDrainCommands, createInspectionCommands } from './service-commands.js';
import { loadCommand } from './load-command.js';
import { standinCommand } from './standin-command.js';
import { createTableCommands } from './table-commands.js';
import { createKeyCommands, createOrganisationCommands } from './tenant-commands.js';

/**
 * Runs one invocation. Resolves to `undefined` for `load` and `standin`, which set the exit code of
 * the process themselves; `standin` keeps running.
 */
export async function runApp(
  argv: readonly string[],
  host: CommandHost,
): Promise<ExitCode | undefined> {
  const runner = createCommandRunner(host);
  const app = subcommands({
    name: 'hibiscusbank',
    description:
      'Exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 conflict with another operator, ' +
      '4 platform unavailable.',
    cmds: {
      node: command({
        name: 'node',
        description: 'Run one router node.',
        args: {
          ...outputOptions,
          config: option({ type: string, long: 'config', description: 'settings file' }),
        },
        handler: (args) =>
          runner.run(args, (output) => runDaemon(args.config, processDaemonPorts, output)),
      }),
      ...createTableCommands(runner),
      org: createOrganisationCommands(runner),
      key: createKeyCommands(runner),
      dc: createDrainCommands(runner, 'dc'),
      vm: createDrainCommands(runner, 'vm'),
      upstream: createDrainCommands(runner, 'upstream'),
      ...createInspectionCommands(runner),
      'explain-log': createExplainLogCommand(runner),
      'explain-placement': createExplainPlacementCommand(runner),
      demo: createDemoCommand(runner),
      load: loadCommand,
      standin: standinCommand,
    },
  });
  const result = await runSafely(app, [...argv]);
  // eslint-disable-next-line no-underscore-dangle
  if (result._tag === 'ok') return runner.exitCode();
  const { into, message } = result.error.config;
  if (into === 'stdout') host.print(message);
  else host.printError(message);
  return into === 'stdout' ? exitCodes.success : exitCodes.usageError;
}
