/** Messages of roll-outs between nodes. */
import { isNonNegative, isPort } from '../message-values.js';
import { isCompactEvidence } from './evidence.js';
import type { CompactEvidence } from './evidence.js';
import { phases } from './rollout-plan.js';
import type { RolloutPhase } from './rollout-plan.js';
import type { RolloutKey } from './types.js';

/** What the controller of a roll-out tells all nodes. The nodes answer with their evidence. */
export interface StepMessage {
  readonly rolloutStep: {
    readonly key: RolloutKey;
    readonly from: { readonly node: string; readonly host: string; readonly port: number };
    /** `rolled_back` is final for the order. */
    readonly state: 'running' | 'rolled_back';
    readonly phase: RolloutPhase;
    readonly shares: Readonly<Record<string, number>>;
    readonly otherShare: number;
    /** Time for which the step may be used, from its arrival. */
    readonly validMs: number;
  };
}

export interface EvidenceMessage {
  readonly rolloutEvidence: {
    readonly key: RolloutKey;
    readonly node: string;
    /** Start of the process in Unix milliseconds; its totals began at 0 then. */
    readonly startedAt: number;
    readonly evidence: CompactEvidence;
  };
}

const isShare = (value: unknown): boolean => isNonNegative(value) && value <= 1;

export function isStepMessage(message: unknown): message is StepMessage {
  const { rolloutStep: step } = (message ?? {}) as Partial<StepMessage>;
  return (
    typeof step?.key === 'string' &&
    typeof step.from?.node === 'string' &&
    typeof step.from.host === 'string' &&
    isPort(step.from.port) &&
    phases.some((phase) => phase === step.phase) &&
    (step.state === 'running' || step.state === 'rolled_back') &&
    typeof step.shares === 'object' &&
    Object.values(step.shares).every(isShare) &&
    isShare(step.otherShare) &&
    isNonNegative(step.validMs)
  );
}

export function isEvidenceMessage(message: unknown): message is EvidenceMessage {
  const { rolloutEvidence: sent } = (message ?? {}) as Partial<EvidenceMessage>;
  return (
    typeof sent?.key === 'string' &&
    typeof sent.node === 'string' &&
    isNonNegative(sent.startedAt) &&
    isCompactEvidence(sent.evidence)
  );
}
