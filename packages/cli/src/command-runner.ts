/** Runs the handler of a command and maps its result or error to an exit code. */
import { toRouterError } from '@hibiscusbank/core';
import { exitCodes, getExitCode } from './exit-codes.js';
import type { ExitCode } from './exit-codes.js';
import { printErrorReport } from './output.js';
import type { Output } from './output.js';
import type { CliPorts, PlatformArgs } from './ports.js';

export interface OutputArgs {
  readonly json: boolean;
  readonly debug: boolean;
}

/** Functions of the process that the commands depend on. */
export interface CommandHost {
  readonly print: (line: string) => void;
  readonly printError: (line: string) => void;
  readonly createPorts: (args: PlatformArgs) => Promise<CliPorts>;
}

export interface CommandRunner {
  /** Runs an action and records its exit code; an action that returns none gives 0. */
  run(args: OutputArgs, action: (output: Output) => Promise<ExitCode | void>): Promise<void>;
  /** Runs an action with access to the platform and the nodes. */
  runWithPorts(
    args: OutputArgs & PlatformArgs,
    action: (ports: CliPorts, output: Output) => Promise<void>,
  ): Promise<void>;
  /** Exit code of the last action; `undefined` until one has finished. */
  exitCode(): ExitCode | undefined;
}

/** Creates the runner of one invocation. */
export function createCommandRunner(host: CommandHost): CommandRunner {
  let exitCode: ExitCode | undefined;
  const run: CommandRunner['run'] = async ({ json, debug }, action) => {
    const output = { json, debug, print: host.print, printError: host.printError };
    try {
      exitCode = (await action(output)) ?? exitCodes.success;
    } catch (thrown) {
      const error = toRouterError(thrown);
      printErrorReport(output, error);
      exitCode = getExitCode(error.kind);
    }
  };
  return {
    run,
    runWithPorts: (args, action) =>
      run(args, async (output) => action(await host.createPorts(args), output)),
    exitCode: () => exitCode,
  };
}
