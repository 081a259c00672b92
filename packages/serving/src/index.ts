export type { HttpExchange } from './context.js';
export { createConnections, openExchange, readFullBody } from './http-exchange.js';
export type { ExchangeReply } from './http-exchange.js';
export type { KnownPeer } from './peer-reports.js';
export * from './ports.js';
export * from './serving-node.js';
export * from './types.js';
export * from './line-log.js';
