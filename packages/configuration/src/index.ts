export * from './digest.js';
export * from './replica.js';
export * from './types.js';
