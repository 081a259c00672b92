export type { Exchange } from './admission.js';
export * from './error-response.js';
export * from './gateway.js';
export { withoutHopByHop } from './headers.js';
export { createHttpServer } from './http-server.js';
export type { HttpServer, HttpServerOptions } from './http-server.js';
export type { Screening } from './screen-connections.js';
export * from './types.js';
export { declaredBytes, readBody } from './read-body.js';
