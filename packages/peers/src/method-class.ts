/** Classes of messages between nodes, for the byte counters. */

/**
 * Control traffic does not depend on the load and counts against the control budget of a node;
 * request traffic grows with requests.
 */
export type MethodClass = 'control' | 'request';

const CONTROL_PREFIXES = ['member.', 'config.', 'keys.'];
const CONTROL_METHODS = new Set(['hello', 'cell.collect', 'quota.adopt']);

/** Class of a method and of its replies. */
export function classifyMethod(method: string): MethodClass {
  if (CONTROL_METHODS.has(method)) return 'control';
  return CONTROL_PREFIXES.some((prefix) => method.startsWith(prefix)) ? 'control' : 'request';
}
