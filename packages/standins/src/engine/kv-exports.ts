/** KV caches that a prefill engine keeps for a limited time, for import by decode engines. */
import type { AnswerPlan } from './answer-text.js';
import type { Memory } from './memory.js';
import { attemptKey } from './types.js';
import type { AttemptRef, Hold } from './types.js';

/**
 * Time limit of an import; without one, an import that never ends would hold the source's memory.
 */
const MAX_IMPORT_MS = 10_000;

export interface KvDescription extends AnswerPlan {
  readonly promptTokens: number;
  readonly bytes: number;
}

interface KvExport extends AttemptRef {
  readonly description: KvDescription;
  readonly blocks: number;
  readonly createdAtMs: number;
  timer: NodeJS.Timeout;
}

export interface KvExports {
  /** Adds an export whose blocks are already reserved and returns its id. */
  add(ref: AttemptRef, description: KvDescription, blocks: number): string;
  /** Describes an export and replaces its time to live by the time limit of the import. */
  beginImport(id: string): KvDescription | undefined;
  /** Ends an import and drops the export. */
  endImport(id: string, completed: boolean): void;
  /** Drops the exports that match and returns their number. */
  cancel(matches: (ref: AttemptRef) => boolean): number;
  holds(): Hold[];
  clear(): void;
}

export interface KvExportsOptions {
  readonly ttlMs: number;
  readonly memory: Memory;
  readonly onDrop: (imported: boolean) => void;
}

/** Creates an empty table of exports. */
export function createKvExports({ ttlMs, memory, onDrop }: KvExportsOptions): KvExports {
  const exports = new Map<string, KvExport>();

  const drop = (id: string, imported: boolean): void => {
    const found = exports.get(id);
    if (found === undefined) return;
    clearTimeout(found.timer);
    exports.delete(id);
    memory.free(found.blocks);
    onDrop(imported);
  };

  const cancel = (matches: (ref: AttemptRef) => boolean): number => {
    const ids = [...exports].filter(([, kvExport]) => matches(kvExport)).map(([id]) => id);
    for (const id of ids) drop(id, false);
    return ids.length;
  };

  return {
    add: (ref, description, blocks) => {
      const id = attemptKey(ref).replace('/', '.');
      drop(id, false);
      const timer = setTimeout(() => drop(id, false), ttlMs);
      const createdAtMs = performance.now();
      exports.set(id, { ...ref, description, blocks, createdAtMs, timer });
      return id;
    },
    beginImport: (id) => {
      const found = exports.get(id);
      if (found === undefined) return undefined;
      clearTimeout(found.timer);
      found.timer = setTimeout(() => drop(id, false), MAX_IMPORT_MS);
      return found.description;
    },
    endImport: drop,
    cancel,
    holds: () => {
      const now = performance.now();
      return [...exports.values()].map((kvExport) => ({
        kind: 'kv_export',
        requestId: kvExport.requestId,
        attempt: kvExport.attempt,
        blocks: kvExport.blocks,
        ageMs: now - kvExport.createdAtMs,
      }));
    },
    clear: () => {
      cancel(() => true);
    },
  };
}
