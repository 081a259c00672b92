export { createSpeedObserver, createUpstreamSpeeds } from './upstream-speeds.js';
export type { SpeedObservation, SpeedObserver, UpstreamSpeeds } from './upstream-speeds.js';
