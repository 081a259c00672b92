export * from './node-settings.js';
export * from './tables.js';
export * from './types.js';
