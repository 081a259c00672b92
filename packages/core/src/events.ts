/** Catalogue of the log events. Event numbers are stable; docs/events.md lists all events. */

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export interface EventDefinition {
  readonly id: number;
  readonly level: LogLevel;
  readonly text: string;
}

const defineEvent = (id: number, level: LogLevel, text: string): EventDefinition => ({
  id,
  level,
  text,
});

/**
 * All events by name. Number ranges: 1000 node, 1100 configuration, 1200 membership, 1300 quota,
 * 1400 scheduler, 1500 gateway, 1600 platform, 1700 reconciliation with engines, 1800 serving on
 * the platform, 1900 invariants.
 */
export const events = {
  nodeStarted: defineEvent(1001, 'info', 'node started'),
  nodeReady: defineEvent(1002, 'info', 'node ready'),
  nodeDraining: defineEvent(1003, 'info', 'node draining'),
  nodeStopped: defineEvent(1004, 'info', 'node stopped'),
  nodeFailed: defineEvent(1005, 'error', 'node could not start'),
  listenerRetried: defineEvent(1006, 'warn', 'address in use; the listener is tried again'),
  listenerFailed: defineEvent(1007, 'error', 'listener could not accept a connection'),

  configurationApplied: defineEvent(1101, 'info', 'configuration applied'),
  configurationRejected: defineEvent(1102, 'error', 'configuration entry rejected'),
  configurationWatchFailed: defineEvent(1103, 'warn', 'configuration watch failed'),
  configurationWatchStarted: defineEvent(1104, 'info', 'watching the platform for configuration'),
  configurationListed: defineEvent(1105, 'info', 'configuration listed from the platform'),
  configurationSnapshotApplied: defineEvent(
    1106,
    'info',
    'configuration snapshot from a peer applied',
  ),
  configurationReady: defineEvent(1107, 'info', 'configuration ready'),
  keyWithdrawn: defineEvent(1108, 'info', 'key withdrawn'),
  keyWithdrawalWritten: defineEvent(1109, 'info', 'key withdrawal written to the platform'),
  configurationPullFailed: defineEvent(1110, 'debug', 'configuration pull failed'),

  memberStateChanged: defineEvent(1201, 'info', 'member state changed'),
  vmListUnavailable: defineEvent(1202, 'warn', 'VM list unavailable'),
  peerConnectionFailed: defineEvent(1203, 'warn', 'peer connection failed'),
  memberReportRefuted: defineEvent(1204, 'warn', 'report about this VM refuted'),
  processPaused: defineEvent(1205, 'warn', 'process was paused'),

  debitGranted: defineEvent(1301, 'debug', 'tokens debited'),
  debitRefused: defineEvent(1302, 'info', 'token debit refused'),
  ringChanged: defineEvent(1303, 'info', 'quota ring changed'),
  ringChangeFailed: defineEvent(1304, 'warn', 'quota ring change failed'),
  shareAdopted: defineEvent(1305, 'info', 'quota shares adopted'),
  adoptionPending: defineEvent(
    1306,
    'info',
    'adoption of quota shares incomplete; retry scheduled',
  ),
  spendingStopped: defineEvent(
    1307,
    'warn',
    'quota spending stopped after isolation or a process pause',
  ),
  tokensBorrowed: defineEvent(1309, 'debug', 'tokens borrowed'),

  placementGranted: defineEvent(1401, 'info', 'placement granted'),
  placementRefused: defineEvent(1402, 'info', 'placement refused'),
  grantReleased: defineEvent(1403, 'debug', 'grant released'),
  placementOverflowed: defineEvent(1404, 'info', 'placement sent to another cell'),
  cellTakenOver: defineEvent(1405, 'info', 'ownership of a cell taken over'),
  cellGivenUp: defineEvent(1406, 'info', 'ownership of a cell ended'),
  upstreamTurnedCold: defineEvent(1407, 'warn', 'upstream in slow start'),
  upstreamWarm: defineEvent(1408, 'info', 'upstream warm'),
  upstreamFailing: defineEvent(1409, 'warn', 'upstream avoided after failures'),
  grantExpired: defineEvent(1410, 'warn', 'unconfirmed grant expired'),
  grantAbandoned: defineEvent(1411, 'warn', 'grant of a dead node dropped'),
  clockGapDetected: defineEvent(1412, 'warn', 'clock gap detected; cell ownership checked again'),
  staleGrantRejected: defineEvent(1413, 'warn', 'grant of an earlier owner rejected'),
  releaseDropped: defineEvent(1414, 'error', 'unacknowledged release dropped'),

  requestRouted: defineEvent(1501, 'info', 'request routed'),
  requestRefused: defineEvent(1502, 'info', 'request refused'),
  requestFinished: defineEvent(1503, 'info', 'request finished'),
  attemptFailed: defineEvent(1504, 'warn', 'attempt failed'),
  streamResumed: defineEvent(1505, 'info', 'stream resumed'),

  orphanCancelled: defineEvent(1701, 'warn', 'orphaned hold on an engine cancelled'),
  cacheEventGap: defineEvent(1702, 'info', 'gap in cache events; resynchronising'),
  engineOrdered: defineEvent(1703, 'info', 'order sent to an engine'),
  engineOrderFailed: defineEvent(1704, 'warn', 'order to an engine failed'),
  engineRoleChanged: defineEvent(1705, 'info', 'role of an engine changed in the pools table'),
  leaseAcquired: defineEvent(1601, 'info', 'lease acquired'),
  leaseLost: defineEvent(1602, 'warn', 'lease lost'),
  leaseReleased: defineEvent(1603, 'info', 'lease released'),
  leaseCallFailed: defineEvent(1604, 'warn', 'read or write of a lease failed'),

  storeLost: defineEvent(1605, 'warn', 'the store does not answer'),
  storeRegained: defineEvent(1606, 'info', 'the store answers again'),

  feedFailed: defineEvent(1608, 'error', 'following the store failed unexpectedly; continued'),
  storeRestored: defineEvent(1607, 'warn', 'the store was restored from a copy'),

  upstreamChanged: defineEvent(1801, 'info', 'upstream registered or changed'),
  upstreamGone: defineEvent(1802, 'info', 'upstream no longer registered'),
  dataCentreOut: defineEvent(1803, 'info', 'data centre taken out of service'),
  dataCentreBack: defineEvent(1804, 'info', 'data centre back in service'),
  peerHeard: defineEvent(1805, 'info', 'peer reachable'),
  peerSilent: defineEvent(1806, 'warn', 'peer timed out; no report received'),
  peerReportRejected: defineEvent(1807, 'warn', 'peer report not sent or not accepted'),
  peerListRead: defineEvent(1808, 'info', 'list read from a peer'),
  nodeForgotten: defineEvent(1809, 'info', 'unreachable node removed from the registry'),
  reservationRefused: defineEvent(1810, 'info', 'engine refused a reservation'),
  prefillFailed: defineEvent(1811, 'warn', 'prefill failed'),
  runFailed: defineEvent(1812, 'warn', 'run of a stream failed'),
  upstreamAnswered: defineEvent(1813, 'info', 'plain upstream answered'),
  requestFailed: defineEvent(1814, 'error', 'request ended by an unexpected error'),
  logLinesDropped: defineEvent(1815, 'warn', 'log lines dropped'),
  freeFailed: defineEvent(
    1817,
    'info',
    'reservation or KV cache could not be freed; it expires on the engine',
  ),
  reservationGranted: defineEvent(1818, 'info', 'engine reserved memory and a slot'),
  promptRead: defineEvent(1819, 'info', 'prompt prefilled by an engine'),
  streamStarted: defineEvent(1820, 'info', 'first event of a stream relayed'),
  dataCentreSilent: defineEvent(
    1823,
    'warn',
    'no upstream of a data centre answers; others are preferred',
  ),
  runNotSent: defineEvent(1824, 'info', 'reservation released before the request was sent'),
  dataCentreUnheard: defineEvent(
    1825,
    'warn',
    'no node of a data centre reports; its engines are used last',
  ),
  dataCentreHeard: defineEvent(1826, 'info', 'nodes of a data centre report again'),
  upstreamEnded: defineEvent(1827, 'warn', 'upstream ended while it ran requests'),
  partQuarantined: defineEvent(
    1828,
    'error',
    'request or prompt part quarantined; upstreams end under it',
  ),
  partCleared: defineEvent(1829, 'info', 'quarantine lifted'),
  upstreamLimitStated: defineEvent(1830, 'warn', 'upstream limits the requests of all nodes'),
  upstreamLimitLifted: defineEvent(1831, 'info', 'upstream no longer limits the requests'),
  upstreamStatementInvalid: defineEvent(
    1832,
    'warn',
    'upstream states headers that cannot be read',
  ),
  permitRefused: defineEvent(
    1833,
    'info',
    'request refused; all its upstreams limit their requests or pause',
  ),
  upstreamLeaving: defineEvent(1834, 'info', 'upstream states that it leaves'),
  upstreamPaused: defineEvent(1835, 'info', 'upstream wants no requests of this node for a while'),
  drainRefused: defineEvent(
    1836,
    'info',
    'request refused; it could not end before the node stops',
  ),
  rolloutOrdered: defineEvent(1837, 'info', 'state of a roll-out in the store'),
  rolloutStep: defineEvent(1838, 'info', 'next step of a roll-out'),
  rolloutReported: defineEvent(1839, 'info', 'state of a roll-out written to the store'),
  allocationRefused: defineEvent(1840, 'info', 'no capacity for a request in its time'),
  connectionsDropped: defineEvent(1841, 'warn', 'connections of callers closed; too many are open'),
  bodyRefused: defineEvent(1842, 'info', 'body of a caller refused'),
  responseUnread: defineEvent(1843, 'warn', 'response closed; its caller does not read it'),
  quarantineNarrowed: defineEvent(1844, 'info', 'fewer suspects in a quarantine'),
  quarantinesRead: defineEvent(1845, 'info', 'quarantines read from the store at the start'),
  quarantinesStored: defineEvent(1846, 'info', 'quarantines written to the store'),
  debitUnanswered: defineEvent(
    1847,
    'warn',
    'no node answered a debit; decided by the own part of the rate',
  ),
  streamOriginsRead: defineEvent(
    1848,
    'info',
    'versions of streams read from the store at the start',
  ),
  streamOriginsNotStored: defineEvent(1849, 'warn', 'versions of streams not written to the store'),
  streamOriginKnown: defineEvent(
    1850,
    'info',
    'caller resumes a stream; it goes on at its version',
  ),
  streamOriginUnknown: defineEvent(
    1851,
    'warn',
    'resumed stream refused; nobody knows which version began it',
  ),
  settingsReloaded: defineEvent(1816, 'info', 'settings reloaded'),

  invariantViolated: defineEvent(1901, 'error', 'invariant violated'),
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof events;
