/** `hibiscusbank node`: runs one node until SIGTERM or SIGINT. */
import { createError, toError, toRouterError, unwrap } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { createHttpPorts, createNode } from '@hibiscusbank/node';
import type { RouterNode } from '@hibiscusbank/node';
import { formatAddress, parseNodeSettings } from '@hibiscusbank/settings';
import type { NodeSettings } from '@hibiscusbank/settings';
import { exitCodes } from './exit-codes.js';
import type { ExitCode } from './exit-codes.js';
import { printErrorReport } from './output.js';
import type { Output } from './output.js';
import { readTextFile } from './ports.js';
import type { FileReader } from './ports.js';

/** Dependencies of the daemon, replaced by fakes in tests. */
export interface DaemonPorts {
  readonly readFile: FileReader;
  readonly createNode: (
    settings: NodeSettings,
  ) => Pick<RouterNode, 'start' | 'drain' | 'stop' | 'telemetry'>;
  /** Registers a listener for SIGTERM and SIGINT. */
  readonly onSignal: (listener: () => void) => void;
}

/** Names the setting of a listener that failed to bind; other errors keep their message. */
function toStartError(thrown: unknown, settings: NodeSettings): RouterError {
  const cause = toError(thrown) as NodeJS.ErrnoException & { address?: string; port?: number };
  const listeners = {
    listen: settings.listen,
    peer_listen: settings.peerListen,
    admin_listen: settings.adminListen,
  };
  const listener = Object.entries(listeners).find(
    ([, { host, port }]) => host === cause.address && port === cause.port,
  );
  if (listener === undefined) return toRouterError(cause, 'internal', cause.message);
  const [key, address] = listener;
  const setting = `[node] ${key} = ${formatAddress(address)}`;
  if (cause.code === 'EADDRINUSE') {
    const problem = 'is in use by another process; stop that process or choose another port';
    return createError('invalid_request', `${setting} ${problem}`, { cause });
  }
  if (cause.code === 'EADDRNOTAVAIL') {
    const problem = 'is not an address of this machine; use one of its addresses';
    return createError('invalid_request', `${setting} ${problem}`, { cause });
  }
  return createError('internal', `${setting}: ${cause.message}`, { cause });
}

/** Resolves after the drain that the first signal starts, or immediately on the second signal. */
function waitForShutdown(
  node: Pick<RouterNode, 'drain' | 'stop'>,
  ports: DaemonPorts,
  output: Output,
): Promise<ExitCode> {
  return new Promise((resolve) => {
    let signalCount = 0;
    ports.onSignal(() => {
      signalCount += 1;
      if (signalCount > 1) {
        node.stop().catch(() => {});
        resolve(exitCodes.failed);
        return;
      }
      node.drain().then(
        () => resolve(exitCodes.success),
        (thrown: unknown) => {
          printErrorReport(
            output,
            toRouterError(thrown, 'internal', 'the drain failed; see the log'),
          );
          resolve(exitCodes.failed);
        },
      );
    });
  });
}

/**
 * Runs a node until SIGTERM or SIGINT. The first signal drains it, the second stops it immediately.
 * Resolves to 0 after a clean drain and to 1 if the drain or the start fails or the node is stopped.
 * Rejects with `invalid_settings`.
 */
export async function runDaemon(
  configPath: string,
  ports: DaemonPorts,
  output: Output,
): Promise<ExitCode> {
  const text = unwrap(await ports.readFile(configPath));
  const settings = unwrap(parseNodeSettings(text, configPath));
  const node = ports.createNode(settings);
  const shutdown = waitForShutdown(node, ports, output);
  const startFailure = new Promise<ExitCode>((resolve) => {
    node.start().catch((thrown: unknown) => {
      const error = toStartError(thrown, settings);
      node.telemetry.log('nodeFailed', { error: error.message });
      printErrorReport(output, error);
      resolve(exitCodes.failed);
    });
  });
  // A signal also ends a node that has not finished starting.
  return Promise.race([shutdown, startFailure]);
}

/** Daemon dependencies backed by the current process. */
export const processDaemonPorts: DaemonPorts = {
  readFile: readTextFile,
  createNode: (settings) => createNode(settings, createHttpPorts(settings)),
  onSignal: (listener) => {
    process.on('SIGTERM', listener);
    process.on('SIGINT', listener);
  },
};
