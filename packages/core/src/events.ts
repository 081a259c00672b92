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
 * 1400 scheduler, 1500 gateway, 1600 platform, 1700 reconciliation with engines, 1800 serving on the platform,
 * 1900 invariants.
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
  configurationWatchStarted: define(1104, 'info', 'watching the platform for configuration'),
  configurationListed: define(1105, 'info', 'configuration listed from the platform'),
  configurationSnapshotApplied: define(1106, 'info', 'configuration snapshot taken from a peer'),
  configurationReady: define(1107, 'info', 'configuration ready'),
  keyWithdrawn: define(1108, 'info', 'key withdrawn'),
  keyWithdrawalWritten: define(1109, 'info', 'key withdrawal written to the platform'),
  configurationPullFailed: define(1110, 'debug', 'configuration pull failed'),

  memberStateChanged: define(1201, 'info', 'member state changed'),
  vmListUnavailable: define(1202, 'warn', 'VM list unavailable'),
  peerConnectionFailed: define(1203, 'warn', 'peer connection failed'),
  memberReportRefuted: define(1204, 'warn', 'report about this VM refuted'),
  processPaused: define(1205, 'warn', 'process was paused'),

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
  placementOverflowed: define(1404, 'info', 'placement sent to another cell'),
  cellTakenOver: define(1405, 'info', 'cell taken over'),
  cellGivenUp: define(1406, 'info', 'cell given up'),
  upstreamTurnedCold: define(1407, 'warn', 'upstream in slow start'),
  upstreamWarm: define(1408, 'info', 'upstream warm'),
  upstreamFailing: define(1409, 'warn', 'upstream avoided after failures'),
  grantExpired: define(1410, 'warn', 'unconfirmed grant expired'),
  grantAbandoned: define(1411, 'warn', 'grant of a dead node dropped'),
  clockGapDetected: define(1412, 'warn', 'clock gap; ownership checked again'),
  staleGrantRejected: define(1413, 'warn', 'grant of an earlier owner rejected'),
  releaseDropped: define(1414, 'error', 'unacknowledged release dropped'),

  requestRouted: define(1501, 'info', 'request routed'),
  requestRefused: define(1502, 'info', 'request refused'),
  requestFinished: define(1503, 'info', 'request finished'),
  attemptFailed: define(1504, 'warn', 'attempt failed'),
  streamResumed: define(1505, 'info', 'stream resumed'),

  orphanCancelled: define(1701, 'warn', 'hold of a request that is gone cancelled'),
  cacheEventGap: define(1702, 'info', 'gap in cache events; resynchronising'),
  engineOrdered: define(1703, 'info', 'engine ordered'),
  engineOrderFailed: define(1704, 'warn', 'engine order failed'),
  engineRoleChanged: define(1705, 'info', 'engine moved to another role in the pools table'),
  leaseAcquired: define(1601, 'info', 'lease acquired'),
  leaseLost: define(1602, 'warn', 'lease lost'),
  leaseReleased: define(1603, 'info', 'lease released'),
  leaseCallFailed: define(1604, 'warn', 'read or write of a lease failed'),

  storeLost: define(1605, 'warn', 'the store does not answer'),
  storeRegained: define(1606, 'info', 'the store answers again'),

  upstreamChanged: define(1801, 'info', 'upstream registered or changed'),
  upstreamGone: define(1802, 'info', 'upstream no longer registered'),
  dataCentreOut: define(1803, 'info', 'data centre taken out of service'),
  dataCentreBack: define(1804, 'info', 'data centre back in service'),
  peerHeard: define(1805, 'info', 'peer reports'),
  peerSilent: define(1806, 'warn', 'peer no longer reports'),
  peerReportRejected: define(1807, 'warn', 'peer report not sent or not accepted'),
  peerListRead: define(1808, 'info', 'list read from a peer'),
  nodeForgotten: define(1809, 'info', 'unreachable node taken off the registry'),
  reservationRefused: define(1810, 'info', 'engine refused a reservation'),
  prefillFailed: define(1811, 'warn', 'prefill failed'),
  runFailed: define(1812, 'warn', 'run of a stream failed'),
  upstreamAnswered: define(1813, 'info', 'plain upstream answered'),
  requestFailed: define(1814, 'error', 'request ended by an unexpected error'),
  logLinesDropped: define(1815, 'warn', 'log lines dropped'),
  freeFailed: define(1817, 'info', 'reservation or KV cache could not be freed; it lapses'),
  reservationGranted: define(1818, 'info', 'engine reserved memory and a slot'),
  promptRead: define(1819, 'info', 'prompt read by a prefill engine'),
  streamStarted: define(1820, 'info', 'first event of a stream relayed'),
  dataCentreSilent: define(
    1823,
    'warn',
    'no upstream of a data centre answers; others are preferred',
  ),
  runNotSent: define(1824, 'info', 'reservation given back before the request was sent'),
  settingsReloaded: define(1816, 'info', 'settings read again'),

  invariantViolated: define(1901, 'error', 'invariant violated'),
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof events;
