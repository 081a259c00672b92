export * from './types.js';
export * from './tcp-network.js';
export * from './membership.js';
