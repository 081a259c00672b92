/** Decodes of an engine: their slots, imports of KV caches and token streams. */
import type { Admission } from './admission.js';
import { refuseNotRun } from './admission.js';
import { countRemaining } from './answer-text.js';
import type { Batch } from './batch.js';
import type { KvDescription } from './kv-exports.js';
import type { Link, TransferHandle } from './link.js';
import { countBlocks } from './memory.js';
import type { Memory } from './memory.js';
import { createStream, disconnectReaders } from './streams.js';
import type { Stream } from './streams.js';
import { attemptKey } from './types.js';
import type { AttemptRef, EngineCounters, EngineOptions, Hold, Refusal } from './types.js';

export interface DecodeCall extends AttemptRef {
  readonly organisation: string | undefined;
  readonly kvId: string;
  /** Base URL of the engine that holds the export. */
  readonly kvSource: string;
  readonly startIndex: number;
  readonly maxTokens: number;
}

/** Client for the KV exports of other engines. */
export interface KvClient {
  /**
   * Begins an import. Resolves to `undefined` if the export does not exist; rejects on transport
   * errors.
   */
  begin(source: string, id: string): Promise<KvDescription | undefined>;
  /** Notifies the source that the import has ended. Never rejects. */
  end(source: string, id: string, completed: boolean): Promise<void>;
  /** Returns whether the source is this engine, which needs no transfer. */
  isLocal(source: string): boolean;
}

interface Slot extends AttemptRef {
  readonly startedAtMs: number;
  blocks: number;
  cancelled: boolean;
  transfer: TransferHandle | undefined;
  stream: Stream | undefined;
}

export interface DecodeContext {
  readonly options: EngineOptions;
  readonly memory: Memory;
  readonly link: Link;
  readonly kvClient: KvClient;
  readonly admission: Admission;
  readonly counters: EngineCounters;
  readonly batch: Pick<Batch, 'add' | 'remove'>;
  readonly onRun: (ref: AttemptRef) => void;
  readonly onChange: () => void;
}

export interface Decodes {
  /** Resolves to the stream when the KV cache has been imported, or to a refusal. */
  start(call: DecodeCall): Promise<Stream | Refusal>;
  /** Returns the latest stream of a request, if it runs or is kept for resumption. */
  find(requestId: string): Stream | undefined;
  /** Frees the slot of a finished stream and keeps the stream for resumption for a limited time. */
  finish(stream: Stream): void;
  /** Cancels the decodes that match and returns their number. */
  cancel(matches: (ref: AttemptRef) => boolean): number;
  slotsUsed(): number;
  holds(): Hold[];
  clear(): void;
}

const CANCELLED: Refusal = { status: 499, reason: 'cancelled', notRun: false };

/** Creates the decodes of an engine, with all slots free. */
export function createDecodes(context: DecodeContext): Decodes {
  const { options, memory, link, kvClient, admission, counters, batch } = context;
  const slots = new Map<string, Slot>();
  /** Latest stream by request id. Finished streams are kept for `streamGraceMs`. */
  const streams = new Map<string, Stream>();
  const removalTimers = new Set<NodeJS.Timeout>();

  const freeSlot = (slot: Slot): void => {
    if (slots.get(attemptKey(slot)) !== slot) return;
    slots.delete(attemptKey(slot));
    memory.free(slot.blocks);
    context.onChange();
  };
  const releaseAndRefuse = (slot: Slot, refusal: Refusal): Refusal => {
    freeSlot(slot);
    return slot.cancelled ? CANCELLED : admission.refuse(refusal);
  };
  const checkAdmission = (call: DecodeCall): Refusal | undefined => {
    const running = streams.get(call.requestId);
    if (slots.has(attemptKey(call)) || running?.attempt === call.attempt) {
      return admission.refuse({ status: 409, reason: 'duplicate attempt', notRun: false });
    }
    if (slots.size >= options.slots) return admission.refuse(refuseNotRun(503, 'all slots used'));
    return admission.checkCold();
  };
  const acquireSlot = (call: DecodeCall): Slot => {
    const slot: Slot = {
      requestId: call.requestId,
      attempt: call.attempt,
      startedAtMs: performance.now(),
      blocks: 0,
      cancelled: false,
      transfer: undefined,
      stream: undefined,
    };
    slots.set(attemptKey(slot), slot);
    counters.peakSlots = Math.max(counters.peakSlots, slots.size);
    context.onChange();
    return slot;
  };
  const transferKv = async (slot: Slot, call: DecodeCall, kv: KvDescription): Promise<boolean> => {
    if (!kvClient.isLocal(call.kvSource)) {
      slot.transfer = link.transfer(kv.bytes);
      await slot.transfer.done;
    }
    void kvClient.end(call.kvSource, call.kvId, !slot.cancelled);
    return !slot.cancelled;
  };
  const importKv = async (slot: Slot, call: DecodeCall): Promise<KvDescription | Refusal> => {
    let kv: KvDescription | undefined;
    try {
      kv = await kvClient.begin(call.kvSource, call.kvId);
    } catch {
      return releaseAndRefuse(slot, refuseNotRun(502, `no answer from ${call.kvSource}`));
    }
    if (kv === undefined) return releaseAndRefuse(slot, refuseNotRun(410, 'the KV export is gone'));
    const blocks = countBlocks(kv.promptTokens + call.maxTokens);
    if (slot.cancelled || !memory.reserve(blocks)) {
      void kvClient.end(call.kvSource, call.kvId, false);
      return releaseAndRefuse(slot, refuseNotRun(503, `short of ${blocks} blocks`));
    }
    slot.blocks = blocks;
    context.onChange();
    return (await transferKv(slot, call, kv)) ? kv : CANCELLED;
  };
  const startStream = (slot: Slot, call: DecodeCall, kv: KvDescription): Stream => {
    const count = countRemaining(kv, call.maxTokens, options.variesLength);
    const stream = createStream({
      requestId: call.requestId,
      attempt: call.attempt,
      organisation: call.organisation,
      tag: kv.tag,
      textIndex: kv.nextIndex,
      startIndex: call.startIndex,
      count,
      finishReason: count === call.maxTokens ? 'length' : 'stop',
    });
    slot.stream = stream;
    streams.set(call.requestId, stream);
    counters.decodes += 1;
    context.onRun(call);
    batch.add(stream);
    return stream;
  };
  const scheduleStreamRemoval = (stream: Stream): void => {
    const timer = setTimeout(() => {
      removalTimers.delete(timer);
      if (streams.get(stream.requestId) === stream) streams.delete(stream.requestId);
    }, options.streamGraceMs);
    removalTimers.add(timer);
  };
  const cancelSlot = (slot: Slot): void => {
    slot.cancelled = true;
    freeSlot(slot);
    slot.transfer?.cancel();
    if (slot.stream === undefined) return;
    batch.remove(slot.stream);
    if (streams.get(slot.requestId) === slot.stream) streams.delete(slot.requestId);
    disconnectReaders(slot.stream);
  };
  const cancel = (matches: (ref: AttemptRef) => boolean): number => {
    const cancelled = [...slots.values()].filter(matches);
    for (const slot of cancelled) cancelSlot(slot);
    return cancelled.length;
  };

  return {
    start: async (call) => {
      const refusal = checkAdmission(call);
      if (refusal !== undefined) return refusal;
      const slot = acquireSlot(call);
      const kv = await importKv(slot, call);
      if ('status' in kv) return kv;
      return slot.cancelled ? CANCELLED : startStream(slot, call, kv);
    },
    find: (requestId) => streams.get(requestId),
    finish: (stream) => {
      const slot = slots.get(attemptKey(stream));
      if (slot !== undefined) freeSlot(slot);
      scheduleStreamRemoval(stream);
    },
    cancel,
    slotsUsed: () => slots.size,
    holds: () => {
      const now = performance.now();
      return [...slots.values()].map((slot) => ({
        kind: 'slot',
        requestId: slot.requestId,
        attempt: slot.attempt,
        blocks: slot.blocks,
        ageMs: now - slot.startedAtMs,
      }));
    },
    clear: () => {
      cancel(() => true);
      streams.clear();
      for (const timer of removalTimers) clearTimeout(timer);
      removalTimers.clear();
    },
  };
}
