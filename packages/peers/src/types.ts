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
  /** Registers a listener; returns a function that removes it. */
  onChange(listener: (member: Member) => void): () => void;
  start(): Promise<void>;
  /** Announces that this VM leaves; it owns nothing from then on. */
  leave(): Promise<void>;
  stop(): Promise<void>;
}
