/** A node as a library object. */
import type { LogSink, Telemetry, TokenCounter } from '@hibiscusbank/core';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { EnginePort, UpstreamPort } from '@hibiscusbank/engines';
import type { Membership, PeerNetwork } from '@hibiscusbank/peers';
import type { ObjectApi, VmList, WeightStore } from '@hibiscusbank/platform';
import type { Quota } from '@hibiscusbank/quota';
import type { Scheduler } from '@hibiscusbank/scheduler';

/** The outside of a node; every port has an HTTP adapter. */
export interface NodePorts {
  readonly objectApi: ObjectApi;
  readonly vmList: VmList;
  readonly weightStore: WeightStore | undefined;
  readonly engines: EnginePort;
  readonly upstreams: UpstreamPort;
  readonly logSink?: LogSink;
  readonly countTokens?: TokenCounter;
}

export interface RouterNode {
  readonly telemetry: Telemetry;
  readonly configuration: ConfigurationReplica;
  readonly membership: Membership;
  readonly network: PeerNetwork;
  readonly scheduler: Scheduler;
  readonly quota: Quota;
  /** Starts all listeners; resolves when they listen, which is before the node is ready. */
  start(): Promise<void>;
  isReady(): boolean;
  /** Port for callers. */
  port(): number;
  adminPort(): number;
  /** Takes no new work, hands over, finishes running requests, then stops. */
  drain(): Promise<void>;
  /** Stops without finishing running requests. */
  stop(): Promise<void>;
}
