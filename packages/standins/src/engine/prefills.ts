/** Prefills of an engine, which use the queue and the prefix cache and produce KV exports. */
import { countTokens, hashPrefixes } from '@hibiscusbank/core';
import type { Admission } from './admission.js';
import { refuseNotRun } from './admission.js';
import { planAnswer } from './answer-text.js';
import type { KvExports } from './kv-exports.js';
import { countBlocks } from './memory.js';
import type { Memory } from './memory.js';
import type { PrefillQueue } from './prefill-queue.js';
import type { PrefixCache } from './prefix-cache.js';
import type { AttemptRef, EngineCounters, EngineOptions, Refusal } from './types.js';

export interface PrefillCall extends AttemptRef {
  readonly prompt: string;
  readonly priority: number;
}

export interface PrefillAnswer {
  readonly kvId: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly elapsedMs: number;
}

export type PrefillOutcome = PrefillAnswer | Refusal;

export interface PrefillContext {
  readonly options: EngineOptions;
  readonly queue: PrefillQueue;
  readonly cache: PrefixCache;
  readonly memory: Memory;
  readonly exports: KvExports;
  readonly admission: Admission;
  readonly counters: EngineCounters;
  /** Returns the current factor on the duration of all work. */
  readonly slowdown: () => number;
  readonly onRun: (ref: AttemptRef) => void;
}

const CANCELLED: Refusal = { status: 499, reason: 'cancelled', notRun: false };

/** Queues a prefill. Resolves when it is finished, cancelled or refused. */
export function runPrefill(context: PrefillContext, call: PrefillCall): Promise<PrefillOutcome> {
  const { options, queue, cache, memory, exports, admission, counters } = context;
  const promptTokens = countTokens(call.prompt);
  const blocks = countBlocks(promptTokens);
  const hashes = hashPrefixes(call.prompt);
  let cachedTokens = 0;
  let hasMemory = false;
  return new Promise((resolve) => {
    queue.add({
      requestId: call.requestId,
      attempt: call.attempt,
      priority: call.priority,
      begin: () => {
        if (!memory.reserve(blocks)) {
          resolve(admission.refuse(refuseNotRun(503, `short of ${blocks} blocks`)));
          return undefined;
        }
        hasMemory = true;
        context.onRun(call);
        cachedTokens = Math.min(cache.cachedTokens(hashes), promptTokens);
        const computed = promptTokens - cachedTokens;
        return (computed / options.prefillTokensPerMs) * context.slowdown();
      },
      complete: (elapsedMs) => {
        counters.prefills += 1;
        counters.prefilledTokens += promptTokens - cachedTokens;
        counters.cachedTokens += cachedTokens;
        cache.store(hashes);
        const bytes = promptTokens * options.kvBytesPerToken;
        const description = { ...planAnswer(call.prompt), promptTokens, bytes };
        const kvId = exports.add(call, description, blocks);
        resolve({ kvId, promptTokens, cachedTokens, elapsedMs });
      },
      cancel: () => {
        // A waiting job has not reserved memory yet.
        if (hasMemory) memory.free(blocks);
        resolve(CANCELLED);
      },
    });
  });
}
