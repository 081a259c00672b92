export * from './escrow-quota.js';
export * from './types.js';
