/** Stops a node: reports not ready, lets active requests end, and closes its listeners. */
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import type { DrainTime } from './drain-time.js';
import { finishRequests } from './finish-requests.js';
import type { NodeServers } from './node-servers.js';
import type { ServingGateway } from './serving-gateway.js';
import { stopListening } from './stop-listening.js';

/** Margin by which the process stops before its forced end. */
const GRACE_MARGIN_MS = 500;

export interface NodeDrainOptions {
  readonly gateway: ServingGateway;
  readonly servers: NodeServers;
  readonly drainTime: DrainTime;
  /** Time between the request to stop and the forced end of the process. */
  readonly graceMs: number;
  readonly onBegin: () => void;
  /** Called when no request is active any more. */
  readonly onEnd: () => void;
  readonly telemetry: Telemetry;
}

/** Returns the function that drains the node. Further calls join the running drain. */
export function createNodeDrain(options: NodeDrainOptions): () => Promise<void> {
  const { gateway, servers, drainTime, telemetry } = options;
  let drained: Promise<void> | undefined;

  const drain = async (): Promise<void> => {
    telemetry.log('nodeDraining', { active: gateway.activeRequests() });
    const deadline = monotonicMs() + options.graceMs - GRACE_MARGIN_MS;
    drainTime.begin(deadline);
    options.onBegin();
    await stopListening(servers.callers, deadline);
    await finishRequests(gateway, deadline);
    telemetry.log('nodeStopped', { active: gateway.activeRequests() });
    options.onEnd();
    await Promise.all([servers.readiness.kill(), servers.peers.kill()]);
  };

  return () => {
    drained ??= drain();
    return drained;
  };
}
