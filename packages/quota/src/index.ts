export * from './escrow-quota.js';
export * from './local-quota.js';
export * from './types.js';
