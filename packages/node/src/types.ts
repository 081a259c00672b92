/** A node as a library object. */
import type { LogSink, Telemetry, TokenCounter } from '@hibiscusbank/core';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { EnginePort, UpstreamPort } from '@hibiscusbank/engines';
import type { Exchange } from '@hibiscusbank/gateway';
import type { Membership, PeerNetwork, TcpNetworkOptions } from '@hibiscusbank/peers';
import type { ObjectApi, VmList, WeightStore } from '@hibiscusbank/object-api';
import type { Quota } from '@hibiscusbank/quota';
import type { CellScheduler } from '@hibiscusbank/scheduler';

/** The outside of a node; every port has an HTTP adapter. */
export interface NodePorts {
  readonly objectApi: ObjectApi;
  readonly vmList: VmList;
  readonly weightStore: WeightStore | undefined;
  readonly engines: EnginePort;
  readonly upstreams: UpstreamPort;
  /** Replaces the TCP network, so that a test can delay, lose and cut calls between nodes. */
  readonly createNetwork?: (options: TcpNetworkOptions) => PeerNetwork;
  /** False for a node that gets its requests through `serve` only. */
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
  /** Starts all listeners; resolves when they listen, which is before the node is ready. */
  start(): Promise<void>;
  isReady(): boolean;
  /** Serves one request to the end of its response; the HTTP server of the node does the same. */
  serve(exchange: Exchange): Promise<void>;
  /** Port for callers. */
  port(): number;
  adminPort(): number;
  /** Takes no new work, hands over, finishes running requests, then stops. */
  drain(): Promise<void>;
  /** Stops without finishing running requests. */
  stop(): Promise<void>;
}
