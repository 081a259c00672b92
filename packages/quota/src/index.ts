export * from './local-quota.js';
export * from './types.js';
