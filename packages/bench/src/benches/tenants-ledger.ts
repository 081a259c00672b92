/** Records admitted tokens of requests that engines ran, and checks them against the rate limit. */
import type { NodePorts } from '@hibiscusbank/node';
import type { NodeObserver } from '../harness/library-site.js';

export interface Admission {
  readonly atMs: number;
  readonly tokens: number;
}

export interface RateLimit {
  readonly ratePerS: number;
  readonly burst: number;
}

export interface WorstWindow {
  /** Admitted tokens divided by the tokens that the window allows. */
  readonly ratio: number;
  readonly tokens: number;
  readonly ms: number;
}

const MS_PER_S = 1_000;

/**
 * Finds the window with the highest ratio of tokens to `rate x time + burst`, over all windows that
 * begin and end with an admission.
 */
export function findWorstWindow(
  admissions: readonly Admission[],
  { ratePerS, burst }: RateLimit,
): WorstWindow {
  const sorted = [...admissions].sort((a, b) => a.atMs - b.atMs);
  let worst: WorstWindow = { ratio: 0, tokens: 0, ms: 0 };
  for (let first = 0; first < sorted.length; first += 1) {
    const startMs = sorted[first]?.atMs ?? 0;
    let tokens = 0;
    for (const admission of sorted.slice(first)) {
      tokens += admission.tokens;
      const ms = admission.atMs - startMs;
      const ratio = tokens / ((ratePerS * ms) / MS_PER_S + burst);
      if (ratio > worst.ratio) worst = { ratio, tokens, ms };
    }
  }
  return worst;
}

interface Debit {
  readonly organisation: string;
  readonly requestId: string;
  readonly atMs: number;
  readonly charged: number;
  refunded: number;
}

export interface Ledger {
  readonly observer: NodeObserver;
  /** Returns the debits, less their refunds, of those requests of an organisation that engines ran. */
  readAdmissions(organisation: string): readonly Admission[];
  /** Returns the ids of requests that an engine ran without a granted debit. */
  listUncharged(): readonly string[];
}

/** Creates an empty ledger. Its observer records the debits, refunds and prefills of nodes. */
export function createLedger(): Ledger {
  const debits = new Map<string, Debit>();
  const ran = new Set<string>();

  const addDebit = (params: unknown, reply: unknown): void => {
    const { organisation, id, tokens } = params as {
      organisation: string;
      id: string;
      tokens: number;
    };
    if (!(reply as { granted: boolean }).granted) return;
    const [requestId = id] = id.split('/');
    const atMs = performance.now();
    debits.set(id, { organisation, requestId, atMs, charged: tokens, refunded: 0 });
  };
  const addRefund = (params: unknown): void => {
    const { id, tokens } = params as { id: string; tokens: number };
    const debit = debits.get(id);
    if (debit !== undefined) debit.refunded += tokens;
  };
  const wrapPorts = (ports: NodePorts): NodePorts => ({
    ...ports,
    engines: {
      ...ports.engines,
      prefill: (call) => {
        ran.add(call.requestId);
        return ports.engines.prefill(call);
      },
    },
  });

  return {
    observer: {
      wrapPorts,
      onCall: (method, params, reply) => {
        if (method === 'quota.debit') addDebit(params, reply);
      },
      // Refunded tokens were not used, even if the refund does not reach the holder.
      onSent: (method, params) => {
        if (method === 'quota.refund') addRefund(params);
      },
    },
    readAdmissions: (organisation) =>
      [...debits.values()]
        .filter((debit) => debit.organisation === organisation && ran.has(debit.requestId))
        .map(({ atMs, charged, refunded }) => ({
          atMs,
          tokens: Math.max(0, charged - refunded),
        })),
    listUncharged: () => {
      const charged = new Set([...debits.values()].map(({ requestId }) => requestId));
      return [...ran].filter((id) => !charged.has(id));
    },
  };
}
