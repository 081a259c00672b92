/** Classifies messages between nodes for the byte counters. */

/**
 * Control traffic does not depend on the load and counts against a node's budget of control bytes;
 * request traffic grows with the number of requests.
 */
export type MethodClass = 'control' | 'request';

const CONTROL_PREFIXES = ['member.', 'config.', 'keys.'];
const CONTROL_METHODS = new Set(['hello', 'cell.collect', 'quota.adopt']);

/** Returns the class of a method; it applies to the replies too. */
export function classifyMethod(method: string): MethodClass {
  if (CONTROL_METHODS.has(method)) return 'control';
  return CONTROL_PREFIXES.some((prefix) => method.startsWith(prefix)) ? 'control' : 'request';
}
