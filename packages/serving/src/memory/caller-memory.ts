/** The memory and connections that callers may take of a node. */
import type { Telemetry } from '@hibiscusbank/core';
import { createBodyBudget } from './body-budget.js';
import { computeMemoryLimits } from './memory-limits.js';
import type { Machine } from './memory-limits.js';
import { createCallerBodies } from './read-caller-body.js';
import type { CallerBodies } from './read-caller-body.js';
import { createSegmentPool } from './segment-pool.js';
import { createUnreadResponses } from './unread-responses.js';
import type { UnreadResponses } from './unread-responses.js';

export interface CallerMemory {
  readonly bodies: CallerBodies;
  readonly unread: UnreadResponses;
  /** Connections of callers that are open at a time. */
  readonly maxConnections: number;
}

/** Creates the limits of one node from those of its machine. */
export function createCallerMemory(
  machine: Machine | undefined,
  telemetry: Telemetry,
): CallerMemory {
  const { bodyBytes, unreadBytes, maxConnections } = computeMemoryLimits(machine);
  return {
    bodies: createCallerBodies(
      createBodyBudget(bodyBytes),
      createSegmentPool(bodyBytes),
      telemetry,
    ),
    unread: createUnreadResponses(unreadBytes, telemetry),
    maxConnections,
  };
}
