export * from './engine.js';
export * from './object-store.js';
export * from './server.js';
export * from './upstream.js';
export * from './vm-list.js';
