/** Interfaces of the peer network and of membership. */
import type { DataCentreId, RouterError, VmId } from '@hibiscusbank/core';
import type { ResultAsync } from 'neverthrow';

export interface PeerIdentity {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
}

export interface CallOptions {
  readonly timeoutMs: number;
}

/** Handles a method; the rejection of its promise is sent to the calling peer as a typed error. */
export type PeerHandler = (params: unknown, from: PeerIdentity) => Promise<unknown>;

/**
 * JSON-RPC between nodes. Errors of `call`: `peer_unavailable`, `timeout`, or the typed error of
 * the remote handler.
 */
export interface PeerNetwork {
  readonly self: PeerIdentity;
  call<T>(
    to: VmId,
    method: string,
    params: unknown,
    options: CallOptions,
  ): ResultAsync<T, RouterError>;
  handle(method: string, handler: PeerHandler): void;
  start(): Promise<void>;
  stop(): Promise<void>;
}

export type MemberState = 'live' | 'suspect' | 'leaving' | 'dead';

export interface Member {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
  readonly peerAddress: string;
  readonly state: MemberState;
  /**
   * Orders reports about one VM. Only the VM itself raises it: when its process starts, changes its
   * state or address, or refutes a report. It is 0 while the VM is known only from the VM list.
   */
  readonly incarnation: number;
}

/** Probes that carry a payload: inside a data centre, between data centres, or both. */
export type PayloadScope = 'local' | 'remote' | 'all';

/** Small value of another module, attached to probes and their replies. */
export interface ProbePayload {
  readonly name: string;
  readonly scope: PayloadScope;
  /** Returns the value to send, or `undefined` to send none. */
  readonly read: () => unknown;
  readonly receive: (value: unknown, from: PeerIdentity) => void;
}

export interface Membership {
  readonly self: PeerIdentity;
  /** VMs of a data centre that may own work (state `live` or `suspect`), sorted by id. */
  listLive(dataCentre: DataCentreId): readonly VmId[];
  /** All known members, including those that died recently. */
  members(): readonly Member[];
  find(vm: VmId): Member | undefined;
  /** VMs of the last VM list that was read, or `undefined` before the first. */
  listedVms(): readonly VmId[] | undefined;
  /** Monotonic time of the last contact with the platform's VM list or any peer. */
  lastContactMs(): number;
  /** `host:port` of a VM that is a member or on the VM list. */
  findAddress(vm: VmId): string | undefined;
  /** Other data centres with listed or known VMs, sorted. */
  otherDataCentres(): readonly DataCentreId[];
  /**
   * Monotonic time of the last known contact of any VM of this data centre with another data
   * centre; `-Infinity` before the first.
   */
  lastDataCentreContactMs(dataCentre: DataCentreId): number;
  /** Whether the last contact with the data centre is at most `DATA_CENTRE_TIMEOUT_MS` ago. */
  isReachable(dataCentre: DataCentreId): boolean;
  /** Attaches a payload to probes. Must be called before `start`. */
  addPayload(payload: ProbePayload): void;
  /**
   * Registers a listener for changes of state, incarnation or address; returns a function that
   * removes it. A higher incarnation in state `live` means a restart, a refutation or a changed
   * address.
   */
  onChange(listener: (member: Member) => void): () => void;
  start(): Promise<void>;
  /** Announces that this VM leaves. From then on it owns no work. */
  leave(): Promise<void>;
  stop(): Promise<void>;
}
