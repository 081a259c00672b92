/**
 * Forwards changes from a watch of the store to the nodes of the same data centre, ahead of the
 * next report.
 */
import type { EntryDelta } from './entry-feed.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import type { KnownPeer } from './peer-reports.js';
import { isPosition } from './store-era.js';

export interface ChangeNotice {
  /** Kind of the changed entries. */
  readonly notice: string;
  readonly delta: EntryDelta;
}

export interface ChangeNoticesOptions {
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  /** Returns the live peers in the local data centre. */
  readonly recipients: () => readonly KnownPeer[];
}

export interface ChangeNotices {
  /**
   * Forwards changes. Those too long for a message are not sent; peers read them as a list when a
   * report shows that they are behind.
   */
  forward(kind: string, delta: EntryDelta): void;
}

/** Whether a message from a peer is a change notice. */
export function isChangeNotice(value: unknown): value is ChangeNotice {
  const { notice, delta } = (value ?? {}) as Partial<ChangeNotice>;
  return (
    typeof notice === 'string' &&
    typeof delta?.after === 'number' &&
    isPosition(delta) &&
    Array.isArray(delta.changes) &&
    delta.changes.every(isPosition)
  );
}

/** Creates the sender of change notices of one node. */
export function createChangeNotices(options: ChangeNoticesOptions): ChangeNotices {
  return {
    forward: (notice, delta) => {
      const message: ChangeNotice = { notice, delta };
      options.datagrams.send(message, options.recipients());
    },
  };
}
