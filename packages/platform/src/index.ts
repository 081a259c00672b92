export * from './object-api.js';
export * from './types.js';
export * from './vm-list.js';
