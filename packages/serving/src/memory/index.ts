export { createBodyBudget } from './body-budget.js';
export type { BodyBudget } from './body-budget.js';
export { discardBody } from './discard-body.js';
export { computeMemoryLimits } from './memory-limits.js';
export type { Machine } from './memory-limits.js';
export { createCallerBodies } from './read-caller-body.js';
export type { CallerBodies, CallerBody } from './read-caller-body.js';
