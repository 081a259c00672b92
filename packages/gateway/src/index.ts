export type { Exchange } from './admission.js';
export * from './error-response.js';
export * from './gateway.js';
export * from './types.js';
