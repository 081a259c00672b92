/** Runs the handler of a command and turns its end into an exit code. */
import { toRouterError } from '@hibiscusbank/core';
import { exitCodes, findExitCode } from './exit-codes.js';
import type { ExitCode } from './exit-codes.js';
import { presentError } from './output.js';
import type { Output } from './output.js';
import type { CliPorts, PlatformArgs } from './ports.js';

export interface OutputArgs {
  readonly json: boolean;
  readonly debug: boolean;
}

/** What the commands need from the process. */
export interface CommandHost {
  readonly print: (line: string) => void;
  readonly printError: (line: string) => void;
  readonly createPorts: (args: PlatformArgs) => Promise<CliPorts>;
}

export interface CommandRunner {
  /** Runs a step; its exit code is kept. A step without a code of its own gives 0. */
  run(args: OutputArgs, step: (output: Output) => Promise<ExitCode | void>): Promise<void>;
  /** Runs a step with the ports to the platform and the nodes. */
  runWithPorts(
    args: OutputArgs & PlatformArgs,
    step: (ports: CliPorts, output: Output) => Promise<void>,
  ): Promise<void>;
  /** Exit code of the step that ran, `undefined` before. */
  exitCode(): ExitCode | undefined;
}

/** Creates the runner of one invocation. */
export function createCommandRunner(host: CommandHost): CommandRunner {
  let exitCode: ExitCode | undefined;
  const run: CommandRunner['run'] = async ({ json, debug }, step) => {
    const output = { json, debug, print: host.print, printError: host.printError };
    try {
      exitCode = (await step(output)) ?? exitCodes.done;
    } catch (thrown) {
      const error = toRouterError(thrown);
      presentError(output, error);
      exitCode = findExitCode(error.kind);
    }
  };
  return {
    run,
    runWithPorts: (args, step) =>
      run(args, async (output) => step(await host.createPorts(args), output)),
    exitCode: () => exitCode,
  };
}
