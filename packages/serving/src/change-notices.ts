/** Tells nodes of the same data centre what a watch of the store brought, ahead of their next report. */
import type { EntryDelta } from './object-feed.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import type { KnownPeer } from './peer-reports.js';

export interface ChangeNotice {
  /** Kind of the entries. */
  readonly notice: string;
  readonly delta: EntryDelta;
}

export interface ChangeNoticesOptions {
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  /** Nodes of the same data centre. */
  readonly recipients: () => readonly KnownPeer[];
}

export interface ChangeNotices {
  /** Passes changes on; those that do not fit a message are read by peers that find themselves behind. */
  tell(kind: string, delta: EntryDelta): void;
}

/** Whether a message of a peer is a notice. */
export function isChangeNotice(value: unknown): value is ChangeNotice {
  const { notice, delta } = (value ?? {}) as Partial<ChangeNotice>;
  return (
    typeof notice === 'string' &&
    typeof delta?.after === 'number' &&
    typeof delta.revision === 'number' &&
    Array.isArray(delta.changes)
  );
}

/** Creates the notices of one node. */
export function createChangeNotices(options: ChangeNoticesOptions): ChangeNotices {
  return {
    tell: (notice, delta) => {
      const message: ChangeNotice = { notice, delta };
      options.datagrams.send(message, options.recipients());
    },
  };
}
