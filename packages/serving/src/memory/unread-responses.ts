/**
 * Bounds the memory of responses that callers do not read. A response is written whole and waits in this
 * process until its caller takes it. Designed for callers that request large responses and read none of
 * them, or very slowly.
 */
import type { ServerResponse } from 'node:http';
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';

/** Time after which an unread response may be given up for others. */
const MIN_UNREAD_MS = 2_000;
/** Time after which an unread response is given up in any case. */
const MAX_UNREAD_MS = 30_000;

type Response = Pick<
  ServerResponse,
  'writableLength' | 'writableFinished' | 'destroyed' | 'destroy' | 'once'
>;

export interface UnreadResponses {
  /** Follows a response that has been written to its end, until its caller has read it. */
  track(outgoing: Response): void;
  unreadBytes(): number;
}

interface Unread {
  readonly outgoing: Response;
  readonly since: number;
}

/** Creates the record of one node, which keeps unread responses below `maxBytes`. */
export function createUnreadResponses(maxBytes: number, telemetry: Telemetry): UnreadResponses {
  const unread = new Set<Unread>();

  const unreadBytes = (): number =>
    [...unread].reduce((sum, { outgoing }) => sum + outgoing.writableLength, 0);

  const giveUp = (response: Unread): void => {
    if (!unread.delete(response)) return;
    telemetry.log('responseUnread', {
      bytes: response.outgoing.writableLength,
      ms: Math.round(monotonicMs() - response.since),
    });
    response.outgoing.destroy();
  };

  const makeRoom = (): void => {
    let bytes = unreadBytes();
    if (bytes <= maxBytes) return;
    const now = monotonicMs();
    const old = [...unread]
      .filter(({ since }) => now - since >= MIN_UNREAD_MS)
      .sort((a, b) => b.outgoing.writableLength - a.outgoing.writableLength);
    for (const response of old) {
      if (bytes <= maxBytes) return;
      bytes -= response.outgoing.writableLength;
      giveUp(response);
    }
  };

  return {
    unreadBytes,
    track: (outgoing) => {
      if (outgoing.destroyed || outgoing.writableFinished || outgoing.writableLength === 0) return;
      const response: Unread = { outgoing, since: monotonicMs() };
      unread.add(response);
      const timer = setTimeout(() => giveUp(response), MAX_UNREAD_MS);
      timer.unref();
      const forget = (): void => {
        clearTimeout(timer);
        unread.delete(response);
      };
      outgoing.once('finish', forget);
      outgoing.once('close', forget);
      makeRoom();
    },
  };
}
