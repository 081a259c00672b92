export * from './partition.js';
export * from './scheduler.js';
export * from './types.js';
