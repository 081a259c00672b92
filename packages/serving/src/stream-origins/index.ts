/** Keeps streams that callers resume at the software version that began them. */
export { computeStreamLifeMs } from './stream-life.js';
export { createStreamOrigins } from './stream-origins.js';
export type { StreamOrigin, StreamOriginService, StreamOrigins } from './stream-origins.js';
