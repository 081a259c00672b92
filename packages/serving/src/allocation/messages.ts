/** Messages about the allocation of capacity. */
import type { SpeedObservation } from '../costs/index.js';
import { isNonNegative, isPort } from '../message-values.js';
import type { AllocationAsk, AllocationCell, CellKind, Holding } from './types.js';

interface Sender {
  readonly node: string;
  readonly host: string;
  readonly port: number;
}

/** What a node holds in a cell. */
export interface HoldingsStatement {
  readonly cell: AllocationCell;
  /** Increases with each statement of a process, also after its restart. */
  readonly sequence: number;
  readonly holdings: readonly Holding[];
  /** Number of the last grant that the holdings include. */
  readonly lastGrant: number;
  /** How fast upstreams of the cell answered since the last statement. */
  readonly observed: readonly SpeedObservation[];
}

/** An upstream that did not take what was granted before. */
export interface Refusal {
  readonly upstream: string;
  /** Whether it answered at all. */
  readonly isAlive: boolean;
}

export interface AskMessage {
  readonly allocationAsk: AllocationAsk &
    HoldingsStatement & {
      readonly id: number;
      readonly from: Sender;
      readonly pool: string;
      readonly cellKind: CellKind;
      readonly cellDataCentre: string | undefined;
      /** Upstream that refused what was granted before. */
      readonly refusedBy: Refusal | undefined;
    };
}

export interface CancelMessage {
  readonly allocationCancel: { readonly id: number; readonly node: string };
}

export interface HoldingsMessage {
  readonly allocationHoldings: HoldingsStatement & { readonly node: string };
}

export type AnswerKind = 'granted' | 'waiting' | 'refused' | 'not_allocator';

export interface AnswerMessage {
  readonly allocationAnswer: {
    readonly id: number;
    readonly kind: AnswerKind;
    readonly upstream: string | undefined;
    readonly grant: number;
    /** Tokens in use on the upstream before the grant. */
    readonly aheadTokens: number;
    readonly waitMs: number;
  };
}

const ANSWER_KINDS: readonly string[] = [
  'granted',
  'waiting',
  'refused',
  'not_allocator',
] satisfies AnswerKind[];

const isText = (value: unknown): value is string => typeof value === 'string';

function isHolding(value: unknown): value is Holding {
  if (!Array.isArray(value)) return false;
  const [upstream, requests, tokens] = value as unknown[];
  return isText(upstream) && isNonNegative(requests) && isNonNegative(tokens);
}

function isObservation(value: unknown): value is SpeedObservation {
  if (!Array.isArray(value)) return false;
  const [upstream, key, count, sumLog] = value as unknown[];
  return isText(upstream) && isText(key) && isNonNegative(count) && typeof sumLog === 'number';
}

function isStatement(value: Partial<HoldingsStatement>): value is HoldingsStatement {
  return (
    isText(value.cell) &&
    isNonNegative(value.sequence) &&
    isNonNegative(value.lastGrant) &&
    Array.isArray(value.holdings) &&
    value.holdings.every(isHolding) &&
    Array.isArray(value.observed) &&
    value.observed.every(isObservation)
  );
}

export function isAskMessage(message: unknown): message is AskMessage {
  const { allocationAsk: ask } = (message ?? {}) as Partial<AskMessage>;
  return (
    ask !== undefined &&
    isStatement(ask) &&
    isNonNegative(ask.id) &&
    isText(ask.from?.node) &&
    isText(ask.from.host) &&
    isPort(ask.from.port) &&
    isText(ask.pool) &&
    (ask.cellKind === 'run' || ask.cellKind === 'prefill') &&
    (ask.refusedBy === undefined || isText(ask.refusedBy.upstream)) &&
    isNonNegative(ask.tokens) &&
    isText(ask.organisation) &&
    isNonNegative(ask.priority) &&
    isNonNegative(ask.onTargetMs) &&
    isNonNegative(ask.maxWaitMs) &&
    isText(ask.dataCentre) &&
    Array.isArray(ask.excluded) &&
    ask.excluded.every(isText)
  );
}

export function isCancelMessage(message: unknown): message is CancelMessage {
  const { allocationCancel: cancel } = (message ?? {}) as Partial<CancelMessage>;
  return isNonNegative(cancel?.id) && isText(cancel.node);
}

export function isHoldingsMessage(message: unknown): message is HoldingsMessage {
  const { allocationHoldings: sent } = (message ?? {}) as Partial<HoldingsMessage>;
  return sent !== undefined && isText(sent.node) && isStatement(sent);
}

export function isAnswerMessage(message: unknown): message is AnswerMessage {
  const { allocationAnswer: answer } = (message ?? {}) as Partial<AnswerMessage>;
  return (
    isNonNegative(answer?.id) &&
    ANSWER_KINDS.includes(answer.kind) &&
    isNonNegative(answer.grant) &&
    isNonNegative(answer.aheadTokens) &&
    isNonNegative(answer.waitMs)
  );
}
