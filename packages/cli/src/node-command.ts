/** `hibiscusbank node`: runs one node until a signal ends it. */
import { createError, toError, toRouterError, unwrap } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { createHttpPorts, createNode } from '@hibiscusbank/node';
import type { RouterNode } from '@hibiscusbank/node';
import { formatAddress, parseNodeSettings } from '@hibiscusbank/settings';
import type { NodeSettings } from '@hibiscusbank/settings';
import { exitCodes } from './exit-codes.js';
import type { ExitCode } from './exit-codes.js';
import { presentError } from './output.js';
import type { Output } from './output.js';
import { readTextFile } from './ports.js';
import type { FileReader } from './ports.js';

/** What the daemon needs from the process. */
export interface DaemonPorts {
  readonly readFile: FileReader;
  readonly createNode: (
    settings: NodeSettings,
  ) => Pick<RouterNode, 'start' | 'drain' | 'stop' | 'telemetry'>;
  /** Registers a listener for SIGTERM and SIGINT. */
  readonly onSignal: (listener: () => void) => void;
}

/** Names the setting whose address is taken; other errors keep their message. */
function explainStartFailure(thrown: unknown, settings: NodeSettings): RouterError {
  const cause = toError(thrown) as NodeJS.ErrnoException & { address?: string; port?: number };
  const listeners = {
    listen: settings.listen,
    peer_listen: settings.peerListen,
    admin_listen: settings.adminListen,
  };
  const found = Object.entries(listeners).find(
    ([, { host, port }]) => host === cause.address && port === cause.port,
  );
  if (found === undefined) return toRouterError(cause, 'internal', cause.message);
  const [key, address] = found;
  const place = `[node] ${key} = ${formatAddress(address)}`;
  if (cause.code === 'EADDRINUSE') {
    const remedy = 'is in use by another process; stop that process or choose another port';
    return createError('invalid_request', `${place} ${remedy}`, { cause });
  }
  if (cause.code === 'EADDRNOTAVAIL') {
    const remedy = 'is not an address of this machine; use one of its own';
    return createError('invalid_request', `${place} ${remedy}`, { cause });
  }
  return createError('internal', `${place}: ${cause.message}`, { cause });
}

/** Resolves after a clean drain, or at once on the second signal. */
function waitForEnd(
  node: Pick<RouterNode, 'drain' | 'stop'>,
  ports: DaemonPorts,
  output: Output,
): Promise<ExitCode> {
  return new Promise((resolve) => {
    let signals = 0;
    ports.onSignal(() => {
      signals += 1;
      if (signals > 1) {
        node.stop().catch(() => {});
        resolve(exitCodes.failed);
        return;
      }
      node.drain().then(
        () => resolve(exitCodes.done),
        (thrown: unknown) => {
          presentError(output, toRouterError(thrown, 'internal', 'the drain failed; see the log'));
          resolve(exitCodes.failed);
        },
      );
    });
  });
}

/**
 * Runs a node until a signal. The first signal drains it, the second one stops it at once. Resolves
 * with 0 after a clean drain and 1 when the node cannot start. Rejects with `invalid_settings`.
 */
export async function runDaemon(
  configPath: string,
  ports: DaemonPorts,
  output: Output,
): Promise<ExitCode> {
  const text = unwrap(await ports.readFile(configPath));
  const settings = unwrap(parseNodeSettings(text, configPath));
  const node = ports.createNode(settings);
  const end = waitForEnd(node, ports, output);
  const failure = new Promise<ExitCode>((resolve) => {
    node.start().catch((thrown: unknown) => {
      const error = explainStartFailure(thrown, settings);
      node.telemetry.log('nodeFailed', { error: error.message });
      presentError(output, error);
      resolve(exitCodes.failed);
    });
  });
  // A signal ends the process also while the node is still starting.
  return Promise.race([end, failure]);
}

/** The daemon's ports in a process. */
export const processDaemonPorts: DaemonPorts = {
  readFile: readTextFile,
  createNode: (settings) => createNode(settings, createHttpPorts(settings)),
  onSignal: (listener) => {
    process.on('SIGTERM', listener);
    process.on('SIGINT', listener);
  },
};
