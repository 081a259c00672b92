/** Dependencies and interface of a node. */
import type { LogSink, Telemetry, TokenCounter } from '@hibiscusbank/core';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { EnginePort, UpstreamPort } from '@hibiscusbank/engines';
import type { Exchange } from '@hibiscusbank/gateway';
import type { Membership, PeerNetwork, TcpNetworkOptions } from '@hibiscusbank/peers';
import type { ObjectApi, VmList, WeightStore } from '@hibiscusbank/object-api';
import type { Quota } from '@hibiscusbank/quota';
import type { CellScheduler } from '@hibiscusbank/scheduler';

/** External services that a node uses, and options for nodes that are embedded as a library. */
export interface NodePorts {
  readonly objectApi: ObjectApi;
  readonly vmList: VmList;
  readonly weightStore: WeightStore | undefined;
  readonly engines: EnginePort;
  readonly upstreams: UpstreamPort;
  /** Replaces the TCP network, so that a test can delay, drop and interrupt calls between nodes. */
  readonly createNetwork?: (options: TcpNetworkOptions) => PeerNetwork;
  /** False for a node that opens no HTTP ports and receives requests only through `serve`. */
  readonly listens?: boolean;
  readonly logSink?: LogSink;
  readonly countTokens?: TokenCounter;
}

export interface RouterNode {
  readonly telemetry: Telemetry;
  readonly configuration: ConfigurationReplica;
  readonly membership: Membership;
  readonly network: PeerNetwork;
  readonly scheduler: CellScheduler;
  readonly quota: Quota;
  /** Starts the node. Resolves when all listeners are open, which is before the node is ready. */
  start(): Promise<void>;
  isReady(): boolean;
  /** Serves one request until its response ends, as the HTTP server of the node does. */
  serve(exchange: Exchange): Promise<void>;
  /** Returns the port for requests of callers. */
  port(): number;
  adminPort(): number;
  /**
   * Reports the node as not ready, hands over its cells and quota shares, waits for running
   * requests up to the drain timeout, then stops.
   */
  drain(): Promise<void>;
  /** Aborts running requests and stops. */
  stop(): Promise<void>;
}
