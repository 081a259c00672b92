/** Asks other nodes by datagram, and matches their answers. Nodes answer within a round trip or not at all. */
import type { GranterSelection } from './granter-selection.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import type { KnownPeer } from './peer-reports.js';

const ANSWER_TIMEOUT_MS = 120;

export interface PeerAsksOptions {
  readonly granters: Pick<GranterSelection, 'pause' | 'confirm'>;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
}

export interface PeerAsks<Answer> {
  /**
   * Sends the message that `toMessage` returns for an id, and resolves to the answer with this id. Resolves to
   * `undefined` after 120 ms without one; the node is then not selected for a while.
   */
  ask(granter: KnownPeer, toMessage: (id: number) => unknown): Promise<Answer | undefined>;
  /** Passes an answer to its ask, unless that has timed out. */
  settle(id: number, answer: Answer): void;
}

/** Creates the asks of one node about one matter. */
export function createPeerAsks<Answer>({ granters, datagrams }: PeerAsksOptions): PeerAsks<Answer> {
  const waiting = new Map<number, (answer: Answer) => void>();
  let lastId = 0;
  return {
    ask: (granter, toMessage) =>
      new Promise((resolve) => {
        lastId += 1;
        const id = lastId;
        const timer = setTimeout(() => {
          waiting.delete(id);
          granters.pause(granter.node);
          resolve(undefined);
        }, ANSWER_TIMEOUT_MS);
        waiting.set(id, (answer) => {
          waiting.delete(id);
          clearTimeout(timer);
          granters.confirm(granter.node);
          resolve(answer);
        });
        datagrams.send(toMessage(id), [granter]);
      }),
    settle: (id, answer) => waiting.get(id)?.(answer),
  };
}
