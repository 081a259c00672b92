export { createFailureBackoff } from './failure-backoff.js';
export type { FailureBackoff } from './failure-backoff.js';
export { createFairQueue } from './fair-queue.js';
export type { FairQueue, Queueable } from './fair-queue.js';
export * from './partition.js';
export * from './scheduler.js';
export * from './types.js';
