/** Creates the gateway of a node and the servers through which it is reached. */
import type { Hono } from 'hono';
import type { ServingContext } from './context.js';
import { createCallerMemory } from './memory/index.js';
import { createNodeServers } from './node-servers.js';
import type { NodeServers } from './node-servers.js';
import { createServingGateway } from './serving-gateway.js';
import type { ServingGateway } from './serving-gateway.js';
import type { ServingNodeOptions } from './serving-node-options.js';

const DEFAULT_IDLE_MS = 20_000;
const DEFAULT_HEADER_MS = 3_000;

export interface NodeGatewayOptions {
  readonly options: ServingNodeOptions;
  readonly context: ServingContext;
  readonly isReady: () => boolean;
  /** HTTP handlers for peers and operators. */
  readonly peerApps: readonly Hono[];
}

/** Creates both; nothing listens yet. */
export function createNodeGateway({ options, context, isReady, peerApps }: NodeGatewayOptions): {
  readonly gateway: ServingGateway;
  readonly servers: NodeServers;
} {
  const { telemetry } = options;
  const { directory } = context;
  const memory = createCallerMemory(options.machine, telemetry);
  const gateway = createServingGateway({ context, memory, readRequest: options.readRequest });
  const servers = createNodeServers({
    addresses: options,
    gateway,
    idleTimeoutMs: () => directory.tables()?.limits.idleTimeoutMs ?? DEFAULT_IDLE_MS,
    headerTimeoutMs: () => directory.tables()?.limits.headerTimeoutMs ?? DEFAULT_HEADER_MS,
    maxConnections: memory.maxConnections,
    screen: memory.bodies.screen,
    isReady,
    peerApps,
    telemetry,
  });
  return { gateway, servers };
}
