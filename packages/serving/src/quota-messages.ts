/** Messages by which nodes debit organisations at another node. */
import type { OrganisationId } from '@hibiscusbank/core';
import { isNonNegative, isPort } from './message-values.js';
import type { QuotaDecision, SpendingNotice } from './organisation-quota.js';

export interface AskMessage {
  readonly quotaAsk: {
    readonly id: number;
    readonly from: { readonly node: string; readonly host: string; readonly port: number };
    readonly organisation: OrganisationId;
    readonly tokens: number;
    readonly hasFreeCapacity: boolean;
  };
}

export interface AnswerMessage {
  readonly quotaAnswer: QuotaDecision & {
    readonly id: number;
    /** Whether the node has decided. It does not know the organisation, or a better granter, otherwise. */
    readonly isDecided: boolean;
    /** Fraction of the burst that is left; below 0 when the bucket is overdrawn. */
    readonly level: number;
    readonly node: string;
    /** Start of the answering process in Unix milliseconds. */
    readonly startedAt: number;
  };
}

/** Tells the nodes that would grant next what this one has granted, since reports take seconds. */
export interface NoticeMessage {
  readonly quotaNotice: SpendingNotice;
}

export function isAsk(message: unknown): message is AskMessage {
  const { quotaAsk } = (message ?? {}) as Partial<AskMessage>;
  return (
    isNonNegative(quotaAsk?.id) &&
    typeof quotaAsk.from?.host === 'string' &&
    isPort(quotaAsk.from.port) &&
    typeof quotaAsk.organisation === 'string' &&
    isNonNegative(quotaAsk.tokens) &&
    typeof quotaAsk.hasFreeCapacity === 'boolean'
  );
}

export function isAnswer(message: unknown): message is AnswerMessage {
  const { quotaAnswer } = (message ?? {}) as Partial<AnswerMessage>;
  return (
    isNonNegative(quotaAnswer?.id) &&
    isNonNegative(quotaAnswer.retryAfterMs) &&
    typeof quotaAnswer.isGranted === 'boolean' &&
    typeof quotaAnswer.isDecided === 'boolean' &&
    typeof quotaAnswer.level === 'number' &&
    typeof quotaAnswer.node === 'string' &&
    isNonNegative(quotaAnswer.startedAt)
  );
}

export function isNotice(message: unknown): message is NoticeMessage {
  const { quotaNotice } = (message ?? {}) as Partial<NoticeMessage>;
  return (
    typeof quotaNotice?.node === 'string' &&
    (quotaNotice.dataCentre === undefined || typeof quotaNotice.dataCentre === 'string') &&
    typeof quotaNotice.organisation === 'string' &&
    isNonNegative(quotaNotice.tokens)
  );
}
