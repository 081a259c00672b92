export * from './lease.js';
export * from './object-api.js';
export * from './put-resolved.js';
export * from './types.js';
export * from './vm-list.js';
