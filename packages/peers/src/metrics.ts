/** Metrics of the peer network and of membership. */
import type { Telemetry } from '@hibiscusbank/core';
import { Counter, Gauge } from 'prom-client';
import type { MethodClass } from './method-class.js';

/** Counts the bytes of messages by class and direction. */
export interface ByteCounter {
  countSent(text: string, kind: MethodClass): void;
  countReceived(text: string, kind: MethodClass): void;
}

/** Creates the byte counters of one node's network. */
export function createByteCounter(telemetry: Telemetry): ByteCounter {
  const sent = telemetry.metrics.peerBytes;
  const received = new Counter({
    name: 'hibiscusbank_peer_received_bytes_total',
    help: 'Bytes received from peers by class of message',
    labelNames: ['class'],
    registers: [telemetry.metrics.registry],
  });
  return {
    countSent: (text, kind) => sent.inc({ class: kind }, Buffer.byteLength(text)),
    countReceived: (text, kind) => received.inc({ class: kind }, Buffer.byteLength(text)),
  };
}

/** Creates the gauge of open peer connections. */
export function createConnectionGauge(telemetry: Telemetry): Gauge {
  return new Gauge({
    name: 'hibiscusbank_peer_connections',
    help: 'Open TCP connections to peers, in both directions',
    registers: [telemetry.metrics.registry],
  });
}

/** Creates the metrics of one node's membership. */
export function createMembershipMetrics(telemetry: Telemetry) {
  const registers = [telemetry.metrics.registry];
  return {
    probes: new Counter({
      name: 'hibiscusbank_member_probes_total',
      help: 'Probes by kind (direct, indirect, remote) and result',
      labelNames: ['kind', 'result'],
      registers,
    }),
    refutations: new Counter({
      name: 'hibiscusbank_member_refutations_total',
      help: 'Times this node refuted a report that it was suspect or dead',
      registers,
    }),
    pauses: new Counter({
      name: 'hibiscusbank_process_pauses_total',
      help: 'Gaps of over 1 s in the event loop of this process',
      registers,
    }),
    syncs: new Counter({
      name: 'hibiscusbank_member_syncs_total',
      help: 'Full exchanges of member tables by result',
      labelNames: ['result'],
      registers,
    }),
    dataCentreAge: new Gauge({
      name: 'hibiscusbank_data_centre_age_seconds',
      help: 'Seconds since this data centre last heard from another one',
      labelNames: ['data_centre'],
      registers,
    }),
    listFailures: new Counter({
      name: 'hibiscusbank_vm_list_failures_total',
      help: 'Failed reads of the VM list',
      registers,
    }),
  };
}

export type MembershipMetrics = ReturnType<typeof createMembershipMetrics>;
