/** Calls between nodes, and which nodes are live. */
import type { DataCentreId, RouterError, VmId } from '@hibiscusbank/core';
import type { ResultAsync } from 'neverthrow';

export interface PeerIdentity {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
}

export interface CallOptions {
  readonly timeoutMs: number;
}

/** Handles a method; a rejected promise is returned to the caller as its error. */
export type PeerHandler = (params: unknown, from: PeerIdentity) => Promise<unknown>;

/**
 * JSON-RPC between nodes. Errors of `call`: `peer_unavailable`, `timeout`, or the typed error of the
 * remote handler.
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
   * Orders reports about one VM. Raised by the VM itself, when its process starts and when it refutes
   * a report; 0 while the VM is only known from the VM list and has given no sign of life.
   */
  readonly incarnation: number;
}

/** Which probes carry a payload: those inside the data centre, those between them, or both. */
export type PayloadScope = 'local' | 'remote' | 'all';

/** A small value that another module sends along with probes and their replies. */
export interface ProbePayload {
  readonly name: string;
  readonly scope: PayloadScope;
  /** The value to send, or `undefined` for none. */
  readonly read: () => unknown;
  readonly receive: (value: unknown, from: PeerIdentity) => void;
}

export interface Membership {
  readonly self: PeerIdentity;
  /** VMs of a data centre that may own work: live or suspect, not leaving; sorted by id. */
  listLive(dataCentre: DataCentreId): readonly VmId[];
  /** All known members, dead ones for some time after their death. */
  members(): readonly Member[];
  find(vm: VmId): Member | undefined;
  /** VMs of the last VM list read, or `undefined` before the first. */
  listedVms(): readonly VmId[] | undefined;
  /** Monotonic time of the last answer from the platform's list or any peer. */
  lastContactMs(): number;
  /** `host:port` of a VM that is a member or on the VM list. */
  findAddress(vm: VmId): string | undefined;
  /** Other data centres that have listed or known VMs, sorted. */
  otherDataCentres(): readonly DataCentreId[];
  /**
   * Monotonic time of the last sign of life of another data centre that reached any VM of this one;
   * `-Infinity` before the first.
   */
  lastHeardMs(dataCentre: DataCentreId): number;
  /** Whether the data centre gave a sign of life within `DATA_CENTRE_TIMEOUT_MS`. */
  isReachable(dataCentre: DataCentreId): boolean;
  /** Sends a payload along with probes. Register before `start`. */
  addPayload(payload: ProbePayload): void;
  /**
   * Registers a listener for changes of state, incarnation or address; returns a function that
   * removes it. A higher incarnation in state `live` means a restart or a refutation.
   */
  onChange(listener: (member: Member) => void): () => void;
  start(): Promise<void>;
  /** Announces that this VM leaves; it owns nothing from then on. */
  leave(): Promise<void>;
  stop(): Promise<void>;
}
