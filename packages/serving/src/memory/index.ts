export { createBodyBudget } from './body-budget.js';
export { createCallerMemory } from './caller-memory.js';
export type { CallerMemory } from './caller-memory.js';
export { discardBody } from './discard-body.js';
export type { Machine } from './memory-limits.js';
export type { RefusalReason } from './read-caller-body.js';
export { createUnreadResponses } from './unread-responses.js';
