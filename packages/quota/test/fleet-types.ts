/** Types of the test fleet. */
import type { DataCentreId, VmId } from '@hibiscusbank/core';
import type { ConfigurationEntry } from '@hibiscusbank/configuration';
import type { PeerHandler } from '@hibiscusbank/peers';
import type { Quota } from '@hibiscusbank/quota';
// eslint-disable-next-line import-x/no-relative-packages -- test support is no part of an interface
import type { createFakeObjectApi, createTestTelemetry } from '../../object-api/test/support.js';

export interface TestNode {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
  alive: boolean;
  paused: boolean;
  leaving: boolean;
  /** Resume functions of messages that wait until the node is no longer paused. */
  readonly heldMessages: (() => void)[];
  lastContact: number;
  readonly quota: Quota;
  readonly handlers: Map<string, PeerHandler>;
  readonly entries: Map<string, ConfigurationEntry>;
  readonly applyEntry: (entry: ConfigurationEntry) => void;
  readonly faults: ReturnType<typeof createFakeObjectApi>['faults'];
  readonly telemetry: ReturnType<typeof createTestTelemetry>;
}

export interface FleetOptions {
  readonly vms: Readonly<Record<string, readonly string[]>>;
  readonly ratePerS: number;
  readonly burst: number;
  readonly seed?: number;
  readonly dataCentres?: readonly string[];
}

/** One admitted request. `used` is the number of tokens that it consumed after its refund. */
export interface Admission {
  readonly at: number;
  readonly charged: number;
  used: number;
}
