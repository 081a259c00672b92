/** Derives limits for callers from the machine on which the process runs. */

/** Limits of the machine, as its settings state them. */
export interface Machine {
  readonly memoryBytes: number;
  readonly maxDescriptors: number;
}

/** Machine of processes whose settings state none. */
const DEFAULT_MACHINE: Machine = { memoryBytes: 256 * 1_024 * 1_024, maxDescriptors: 4_096 };
/**
 * Fraction of the memory for bodies that callers are sending. The heap, the code and the responses of
 * upstreams take the rest of a machine of 178 MB.
 */
const BODIES_SHARE = 0.12;
/** The same for responses that callers have not read yet. */
const UNREAD_SHARE = 0.08;
/** Fraction of the descriptors for connections of callers; upstreams, peers and the store need others. */
const CONNECTIONS_SHARE = 0.6;

export interface MemoryLimits {
  readonly bodyBytes: number;
  readonly unreadBytes: number;
  readonly maxConnections: number;
}

/** Returns the limits for callers on a machine. */
export function computeMemoryLimits(machine: Machine = DEFAULT_MACHINE): MemoryLimits {
  return {
    bodyBytes: Math.floor(machine.memoryBytes * BODIES_SHARE),
    unreadBytes: Math.floor(machine.memoryBytes * UNREAD_SHARE),
    maxConnections: Math.max(1, Math.floor(machine.maxDescriptors * CONNECTIONS_SHARE)),
  };
}
