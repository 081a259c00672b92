export * from './types.js';
export * from './tcp-network.js';
export * from './memory-hub.js';
export * from './membership.js';
export { DATA_CENTRE_TIMEOUT_MS } from './data-centre-ages.js';
