export * from './http-ports.js';
export * from './node.js';
export * from './types.js';
