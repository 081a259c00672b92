export type { Exchange } from './admission.js';
export * from './error-response.js';
export * from './gateway.js';
export { createHttpServer } from './http-server.js';
export type { HttpServer } from './http-server.js';
export * from './types.js';
