export { computeTag, planAnswer, tokenText } from './engine/answer-text.js';
export type { EngineLoad, EngineState } from './engine/engine-core.js';
export type { Order } from './engine/orders.js';
export * from './engine/start-engine.js';
export { ENGINE_DEFAULTS } from './engine/types.js';
export type { EngineFaults, EngineOptions, EngineRole, Hold } from './engine/types.js';
export type { StoredObject } from './object-api/object-table.js';
export * from './object-api/start-object-api.js';
export type { Outage } from './outage.js';
export type { StandinServer } from './server.js';
export * from './upstream/start-upstream.js';
export { UPSTREAM_DEFAULTS } from './upstream/types.js';
export type {
  RecordedCall,
  UpstreamFaults,
  UpstreamOptions,
  UpstreamRuns,
  UpstreamState,
} from './upstream/types.js';
export * from './vm-list.js';
export * from './weight-store.js';
export * from './load/defaults.js';
export { runLoad } from './load/run-load.js';
export * from './load/types.js';
export { createEngineCore } from './engine/engine-core.js';
export type { EngineCore } from './engine/engine-core.js';
export { addReader } from './engine/streams.js';
export type { Stream } from './engine/streams.js';
export { createObjectTable } from './object-api/object-table.js';
export type { ObjectTable } from './object-api/object-table.js';
export { createUpstreamCore } from './upstream/upstream-core.js';
export type { UpstreamCore } from './upstream/upstream-core.js';
export { createRequestPlanner } from './load/plan-request.js';
export type { PlannedRequest } from './load/plan-request.js';
export { sendRequest } from './load/send-request.js';
export { createTargets } from './load/targets.js';
export type { Targets } from './load/targets.js';
