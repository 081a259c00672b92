export * from './cache-index.js';
export * from './model-orders.js';
export * from './orphan-sweeper.js';
export * from './role-balance.js';
export * from './types.js';
