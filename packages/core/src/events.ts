/** The catalogue of log events. Numbers are stable; docs/events.md describes each. */

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export interface EventDefinition {
  readonly id: number;
  readonly level: LogLevel;
  readonly text: string;
}

const define = (id: number, level: LogLevel, text: string): EventDefinition => ({
  id,
  level,
  text,
});

/**
 * All events by name. Ranges: 1000 node, 1100 configuration, 1200 membership, 1300 quota,
 * 1400 scheduler, 1500 gateway, 1600 platform, 1900 invariants.
 */
export const events = {
  nodeStarted: define(1001, 'info', 'node started'),
  nodeReady: define(1002, 'info', 'node ready'),
  nodeDraining: define(1003, 'info', 'node draining'),
  nodeStopped: define(1004, 'info', 'node stopped'),
  nodeFailed: define(1005, 'error', 'node could not start'),

  configurationApplied: define(1101, 'info', 'configuration applied'),
  configurationRejected: define(1102, 'error', 'configuration entry rejected'),
  configurationWatchFailed: define(1103, 'warn', 'configuration watch failed'),

  memberStateChanged: define(1201, 'info', 'member state changed'),
  vmListUnavailable: define(1202, 'warn', 'VM list unavailable'),
  peerConnectionFailed: define(1203, 'warn', 'peer connection failed'),

  debitGranted: define(1301, 'debug', 'tokens debited'),
  debitRefused: define(1302, 'info', 'tokens refused'),
  ringChanged: define(1303, 'info', 'quota ring changed'),
  ringChangeFailed: define(1304, 'warn', 'quota ring change failed'),
  shareAdopted: define(1305, 'info', 'quota shares adopted'),
  adoptionPending: define(1306, 'info', 'quota adoption waits for members'),
  spendingStopped: define(1307, 'warn', 'spending stopped in isolation'),
  tokensBorrowed: define(1309, 'debug', 'tokens borrowed'),

  placementGranted: define(1401, 'info', 'placement granted'),
  placementRefused: define(1402, 'info', 'placement refused'),
  grantReleased: define(1403, 'debug', 'grant released'),

  requestRouted: define(1501, 'info', 'request routed'),
  requestRefused: define(1502, 'info', 'request refused'),
  requestFinished: define(1503, 'info', 'request finished'),
  attemptFailed: define(1504, 'warn', 'attempt failed'),
  streamResumed: define(1505, 'info', 'stream resumed'),

  leaseAcquired: define(1601, 'info', 'lease acquired'),
  leaseLost: define(1602, 'warn', 'lease lost'),
  leaseReleased: define(1603, 'info', 'lease released'),
  leaseCallFailed: define(1604, 'warn', 'read or write of a lease failed'),

  invariantViolated: define(1901, 'error', 'invariant violated'),
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof events;
