/** Reads the bodies of callers within the memory and work that this node has for them. */
import type { IncomingMessage } from 'node:http';
import { createError, monotonicMs } from '@hibiscusbank/core';
import type { RouterError, Telemetry } from '@hibiscusbank/core';
import { declaredBytes } from '@hibiscusbank/gateway';
import type { Screening } from '@hibiscusbank/gateway';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { encodeError } from '../responses.js';
import type { BodyBudget, BodyHold } from './body-budget.js';
import { createBodySegments } from './body-segments.js';
import { createReturnSlots } from './return-slots.js';
import { classifyChunks } from './screen-chunks.js';
import type { SegmentPool } from './segment-pool.js';

/** Maximum wait of a body for memory; callers retry a refusal sooner than they lose patience. */
const MAX_WAIT_MS = 2_000;
const WAIT_CHECK_MS = 50;
/** Memory by which the reservation of a body without a stated length grows at least. */
const MIN_GROWTH_BYTES = 16_384;
/** Chunks, and their mean size, from which a body counts as one in very small chunks. */
const MANY_CHUNKS = 2_000;
const SMALL_CHUNK_BYTES = 64;
/**
 * Bodies in very small chunks that are read at a time. Each chunk is an object until it is copied, so each
 * such body takes several megabytes of heap beside its bytes.
 */
const MAX_SMALL_CHUNK_BODIES = 1;
/**
 * Chunks after which such a body is paused. Without pauses the runtime reads 2 MB of a socket before it
 * turns to other work, which are 350,000 chunks of one byte.
 */
const TURN_CHUNKS = 5_000;
/** Pause after a turn, about as long, so that half of the time is left for others. */
const TURN_PAUSE_MS = 20;
/**
 * Time between the returns of callers whose body came in very small chunks. One read of the socket, which
 * cannot be interrupted, brings up to 10,900 such chunks, and parsing them takes about 30 ms.
 */
const SMALL_CHUNK_RETURN_MS = 250;
const MAX_SMALL_CHUNK_RETURN_MS = 60_000;
/** Retry delay for callers whose body found no memory. */
const RETRY_AFTER_MS = 1_000;

/** A body in memory. */
export interface CallerBody {
  readonly bytes: Buffer;
  /** Called when the request has ended. */
  release(): void;
}

export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeLimitMs: number;
}

export interface CallerBodies {
  /**
   * Reads a whole body. Errors, all before the request ran: `body_too_large`, `no_capacity`,
   * and `cancelled` if the caller disconnected. After an error the rest of the body is unread.
   */
  read(incoming: IncomingMessage, limits: BodyLimits): Promise<Result<CallerBody, BodyRefusal>>;
  /** Decides by the first bytes of a connection whether its first request is parsed. */
  screen(first: Buffer): Screening;
}

/** Why a body was not read to its end. */
export type RefusalReason = 'memory' | 'small_chunks' | 'time' | 'size' | 'cancelled';

export interface BodyRefusal {
  readonly reason: RefusalReason;
  readonly error: RouterError;
}

function notRun(message: string, retryAfterMs = RETRY_AFTER_MS): RouterError {
  return createError('no_capacity', message, { effect: 'not_run', retryAfterMs });
}

const shortOfMemory = (): BodyRefusal => ({
  reason: 'memory',
  error: notRun('no memory for the body at the moment; retry later'),
});

const tooSmallChunks = (retryAfterMs: number): BodyRefusal => ({
  reason: 'small_chunks',
  error: notRun(
    'too many bodies in very small chunks; send larger chunks, or retry later',
    retryAfterMs,
  ),
});

const tooLate = (): BodyRefusal => ({
  reason: 'time',
  error: notRun('the body did not arrive in time; send it faster'),
});

const tooLarge = (maxBytes: number): BodyRefusal => ({
  reason: 'size',
  error: createError('body_too_large', `the body exceeds ${maxBytes} bytes; send less`, {
    effect: 'not_run',
  }),
});

/** Creates the reader of one node. */
export function createCallerBodies(
  budget: BodyBudget,
  pool: SegmentPool,
  telemetry: Telemetry,
): CallerBodies {
  let smallChunkBodies = 0;
  let smallChunksAcceptedAt = -Infinity;
  const smallChunkReturns = createReturnSlots({
    intervalMs: SMALL_CHUNK_RETURN_MS,
    minMs: RETRY_AFTER_MS,
    maxMs: MAX_SMALL_CHUNK_RETURN_MS,
  });

  const countRefusal = (reason: RefusalReason, received: number): void => {
    telemetry.metrics.refusedBodies.inc({ reason });
    telemetry.log('bodyRefused', { reason, received, reserved: budget.reservedBytes() });
  };

  const collect = (
    incoming: IncomingMessage,
    hold: BodyHold,
    limits: BodyLimits,
    onGiveUp: (giveUp: (refusal: BodyRefusal) => void) => void,
  ): Promise<Result<Buffer, BodyRefusal>> =>
    new Promise((resolve) => {
      const declared = declaredBytes(incoming) ?? 0;
      const body = createBodySegments(pool, declared);
      let chunks = 0;
      let isInSmallChunks = false;
      let turnTimer: NodeJS.Timeout | undefined;
      let waitTimer: NodeJS.Timeout | undefined;
      let endWait: (() => void) | undefined;
      let isOver = false;
      let detach = (): void => {};
      let limitTimer: NodeJS.Timeout | undefined;

      const finish = (result: Result<Buffer, BodyRefusal>): void => {
        if (isOver) return;
        isOver = true;
        clearTimeout(waitTimer);
        clearTimeout(turnTimer);
        clearTimeout(limitTimer);
        endWait?.();
        if (isInSmallChunks) smallChunkBodies -= 1;
        detach();
        body.discard();
        // What the caller sends after a refusal is dropped. A paused body would keep it as objects.
        if (result.isErr()) incoming.resume();
        resolve(result);
      };
      const refuse = (refusal: BodyRefusal): void => {
        if (!isOver) countRefusal(refusal.reason, body.length());
        finish(err(refusal));
      };

      const pauseTurn = (): void => {
        incoming.pause();
        turnTimer = setTimeout(() => {
          if (endWait === undefined) incoming.resume();
        }, TURN_PAUSE_MS);
      };

      const countChunk = (): void => {
        chunks += 1;
        if (isInSmallChunks && chunks % TURN_CHUNKS === 0) pauseTurn();
        if (isInSmallChunks || chunks < MANY_CHUNKS) return;
        if (body.length() / chunks >= SMALL_CHUNK_BYTES) return;
        if (smallChunkBodies >= MAX_SMALL_CHUNK_BODIES) {
          refuse(tooSmallChunks(smallChunkReturns.take()));
          return;
        }
        isInSmallChunks = true;
        smallChunkBodies += 1;
      };

      /** Waits with the socket paused until the body may grow to `bytes`. */
      const waitForRoom = (bytes: number): void => {
        endWait = budget.beginWait();
        if (endWait === undefined) {
          refuse(shortOfMemory());
          return;
        }
        incoming.pause();
        const until = monotonicMs() + MAX_WAIT_MS;
        const check = (): void => {
          if (hold.reserve(bytes)) {
            endWait?.();
            endWait = undefined;
            incoming.resume();
          } else if (monotonicMs() >= until) refuse(shortOfMemory());
          else waitTimer = setTimeout(check, WAIT_CHECK_MS);
        };
        waitTimer = setTimeout(check, WAIT_CHECK_MS);
      };

      const onData = (chunk: Buffer): void => {
        hold.recordProgress(chunk.length);
        if (body.length() + chunk.length > limits.maxBytes) {
          refuse(tooLarge(limits.maxBytes));
          return;
        }
        body.append(chunk);
        countChunk();
        if (isOver || endWait !== undefined) return;
        const needed = Math.max(MIN_GROWTH_BYTES, declared, body.capacity());
        if (!hold.reserve(needed)) waitForRoom(needed);
      };
      const onEnd = (): void => finish(ok(body.take()));
      const onClose = (): void =>
        finish(
          err({
            reason: 'cancelled',
            error: createError('cancelled', 'the caller disconnected while sending the body', {
              effect: 'not_run',
            }),
          }),
        );

      detach = () => {
        incoming.off('data', onData).off('end', onEnd).off('close', onClose).off('error', onClose);
      };
      limitTimer = setTimeout(() => refuse(tooLate()), limits.timeLimitMs);
      onGiveUp(refuse);
      incoming.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose);
      if (declared > 0 && !hold.reserve(declared)) waitForRoom(declared);
    });

  /** Whether a body in very small chunks may be parsed. One that was accepted shows itself a moment later. */
  const acceptsSmallChunks = (): boolean =>
    smallChunkBodies < MAX_SMALL_CHUNK_BODIES &&
    monotonicMs() - smallChunksAcceptedAt >= SMALL_CHUNK_RETURN_MS;

  return {
    screen: (first) => {
      const sizes = classifyChunks(first, { chunks: MANY_CHUNKS, meanBytes: SMALL_CHUNK_BYTES });
      if (sizes === 'unknown') return 'wait';
      if (sizes === 'other') return 'accept';
      if (acceptsSmallChunks()) {
        smallChunksAcceptedAt = monotonicMs();
        return 'accept';
      }
      countRefusal('small_chunks', 0);
      const { error } = tooSmallChunks(smallChunkReturns.take());
      return { answer: encodeError(error, 'not_run') };
    },
    read: async (incoming, limits) => {
      if ((declaredBytes(incoming) ?? 0) > limits.maxBytes) {
        countRefusal('size', 0);
        return err(tooLarge(limits.maxBytes));
      }
      let giveUp: (refusal: BodyRefusal) => void = () => {};
      const hold = budget.open(() => giveUp(shortOfMemory()));
      const result = await collect(incoming, hold, limits, (register) => {
        giveUp = register;
      });
      if (result.isErr()) hold.release();
      else hold.complete();
      return result.map((bytes) => ({ bytes, release: hold.release }));
    },
  };
}
