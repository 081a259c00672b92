export * from './failures.js';
export * from './http-client.js';
export * from './http-engine.js';
export * from './http-upstream.js';
export * from './types.js';
