/** Relays the events of an upstream response to the caller. */
import { monotonicMs } from '@hibiscusbank/core';
import type { ServerResponse } from 'node:http';
import { createEventSplitter } from './event-splitter.js';
import type { UpstreamReply } from './types.js';

/** What the caller has received of a stream, over all runs. */
export interface StreamProgress {
  lastId: string | undefined;
  hasEvents: boolean;
  /** Number of blocks of events. */
  blocks: number;
  firstEventAt: number;
  lastEventAt: number;
}

/**
 * Writes complete events as they arrive, so that an interrupted run never leaves a partial event
 * behind. Resolves to whether the response ended completely.
 */
export async function relayEvents(
  reply: UpstreamReply,
  outgoing: ServerResponse,
  progress: StreamProgress,
  onFirstEvent: () => void,
  onPause: (ms: number) => void,
): Promise<boolean> {
  const splitter = createEventSplitter();
  let isActive = true;
  let previousAt: number | undefined;
  let unwritten: Buffer[] = [];
  /** Writes the events of one read together, since each write has a cost of its own. */
  const flush = (): void => {
    if (unwritten.length === 0) return;
    const bytes = unwritten.length === 1 ? unwritten[0] : Buffer.concat(unwritten);
    unwritten = [];
    if (!outgoing.destroyed && !outgoing.write(bytes)) reply.pause();
  };
  const onDrain = (): void => reply.resume();
  outgoing.on('drain', onDrain);
  const isComplete = await reply.read((chunk) => {
    if (!isActive || outgoing.destroyed) return;
    const block = splitter.push(chunk);
    if (splitter.isEventTooLong()) {
      isActive = false;
      reply.abort();
    }
    if (block === undefined) return;
    progress.lastId = block.lastId ?? progress.lastId;
    const now = monotonicMs();
    if (!progress.hasEvents) {
      progress.firstEventAt = now;
      onFirstEvent();
    }
    progress.hasEvents = true;
    progress.blocks += 1;
    if (previousAt !== undefined) onPause(now - previousAt);
    previousAt = now;
    progress.lastEventAt = now;
    unwritten.push(block.bytes);
    if (unwritten.length === 1) queueMicrotask(flush);
  });
  flush();
  const wasAborted = !isActive;
  isActive = false;
  outgoing.off('drain', onDrain);
  return isComplete && !wasAborted && !splitter.hasPartialEvent();
}
