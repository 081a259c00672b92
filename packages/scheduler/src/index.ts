export * from './local-scheduler.js';
export * from './types.js';
