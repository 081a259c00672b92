/**
 * Debits organisations whose spending a node does not know well enough to decide alone: in the first quota
 * window of its process, and in large fleets while they spend faster than their rate. One node, the granter,
 * debits them for all nodes that ask; its own bucket pays. Designed for organisations far over their rate in
 * large fleets, where a node learns only seconds later what the others spend, and for restarts of many nodes
 * beside them. In small fleets reports arrive soon enough.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { OrganisationId, Telemetry } from '@hibiscusbank/core';
import { UNANSWERED_PAUSE_MS } from './granter-selection.js';
import type { OrganisationQuota, QuotaDecision } from './organisation-quota.js';
import { createPeerAsks } from './peer-asks.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import { isLargeFleet } from './peer-reports.js';
import { createQuotaGranters } from './quota-granters.js';
import type { QuotaGrantersOptions } from './quota-granters.js';
import { isAnswer, isAsk, isNotice } from './quota-messages.js';
import type { AnswerMessage, AskMessage, NoticeMessage } from './quota-messages.js';
import type { ServingOrganisation } from './types.js';

/**
 * Fraction of the burst that the granter's bucket holds when an organisation is clearly within its rate. If
 * nodes decided alone again earlier, each would grant what is left of the bucket.
 */
const WITHIN_RATE_LEVEL = 0.5;
/** Nodes that are asked for one request at most, and those that may leave it unanswered. */
const MAX_ASKS = 3;
const MAX_UNANSWERED = 2;

export interface QuotaGrantsOptions extends Omit<QuotaGrantersOptions, 'now'> {
  readonly quota: Pick<
    OrganisationQuota,
    'debit' | 'debitPart' | 'level' | 'findOrganisation' | 'applyNotice'
  >;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  /** Monotonic time in milliseconds at which the process started. */
  readonly startedAt: number;
  readonly telemetry: Telemetry;
}

export interface QuotaGrants {
  /**
   * Debits a request, at this node or at a granter. `hasFreeCapacity`: whether it takes no capacity that
   * others wait for. Refunds are made at this node, whichever node was debited.
   */
  debit(
    organisation: ServingOrganisation,
    tokens: number,
    hasFreeCapacity: boolean,
  ): QuotaDecision | Promise<QuotaDecision>;
  /** Records that a peer was heard, so that it is asked again. */
  recordReport(node: string): void;
  /** Handles a message from a peer. Returns false when it is not about quotas. */
  receive(message: unknown): boolean;
}

const UNDECIDED: QuotaDecision = { isGranted: false, retryAfterMs: 0 };

/** Creates the grants of one node. */
export function createQuotaGrants(options: QuotaGrantsOptions): QuotaGrants {
  const { self, quota, datagrams, startedAt, epoch, windowMs, telemetry } = options;
  const now = (): number => epoch + monotonicMs() - startedAt;
  const granters = createQuotaGranters({ ...options, now });
  const asks = createPeerAsks<AnswerMessage['quotaAnswer']>({ granters, datagrams });
  const withinRate = new Set<OrganisationId>();

  const fleetSize = (): number => options.peers().length + 1;
  const isFirstWindow = (): boolean => monotonicMs() - startedAt < windowMs;

  const usesGranter = (organisation: ServingOrganisation): boolean => {
    const { id, ratePerSecond } = organisation;
    if (ratePerSecond === 0) return false;
    if (isFirstWindow()) return true;
    if (quota.level(organisation) < 0) withinRate.delete(id);
    // Checked last, since it lists all peers.
    return !withinRate.has(id) && isLargeFleet(fleetSize());
  };

  const recordLevel = (organisation: OrganisationId, level: number): void => {
    if (!isFirstWindow() && level >= WITHIN_RATE_LEVEL) withinRate.add(organisation);
  };

  const count = (outcome: string): void => {
    telemetry.metrics.quotaAsks.inc({ outcome });
  };

  /** Debits the bucket of this node, the granter. */
  const grant = (
    organisation: ServingOrganisation,
    tokens: number,
    hasFreeCapacity: boolean,
  ): QuotaDecision => {
    const decision = quota.debit(organisation, tokens, hasFreeCapacity);
    if (decision.isGranted) {
      const { node, dataCentre } = self;
      const message: NoticeMessage = {
        quotaNotice: { node, dataCentre, organisation: organisation.id, tokens },
      };
      datagrams.send(message, granters.findSuccessors(organisation.id));
    }
    return decision;
  };

  /** Decides alone, for the moment until another granter is selected. */
  const debitOwnPart = (organisation: ServingOrganisation, tokens: number): QuotaDecision => {
    count('unanswered');
    telemetry.log('debitUnanswered', { organisation: organisation.id, tokens });
    const { isGranted, retryAfterMs } = quota.debitPart(organisation, tokens, fleetSize());
    return { isGranted, retryAfterMs: Math.min(retryAfterMs, UNANSWERED_PAUSE_MS) };
  };

  const debitAtGranter = async (
    organisation: ServingOrganisation,
    tokens: number,
    hasFreeCapacity: boolean,
  ): Promise<QuotaDecision> => {
    const { node, host, port } = self;
    const ask = { from: { node, host, port }, organisation: organisation.id, tokens };
    let unanswered = 0;
    for (let asked = 0; asked < MAX_ASKS && unanswered < MAX_UNANSWERED; asked += 1) {
      const granter = granters.find(organisation.id);
      if (granter.node === self.node) {
        recordLevel(organisation.id, quota.level(organisation));
        return grant(organisation, tokens, hasFreeCapacity);
      }
      const toMessage = (id: number): AskMessage => ({ quotaAsk: { ...ask, id, hasFreeCapacity } });
      const answer = await asks.ask(granter, toMessage);
      if (answer === undefined) {
        unanswered += 1;
      } else {
        granters.recordStart(answer.node, answer.startedAt);
        if (answer.isDecided) {
          recordLevel(organisation.id, answer.level);
          count(answer.isGranted ? 'granted' : 'refused');
          return answer;
        }
      }
    }
    return debitOwnPart(organisation, tokens);
  };

  const answerAsk = ({ quotaAsk: ask }: AskMessage): void => {
    const organisation = granters.isSuperseded()
      ? undefined
      : quota.findOrganisation(ask.organisation);
    const isDecided = organisation !== undefined;
    const level = isDecided ? quota.level(organisation) : 0;
    const decision = isDecided ? grant(organisation, ask.tokens, ask.hasFreeCapacity) : UNDECIDED;
    const stated = { id: ask.id, isDecided, level, node: self.node, startedAt: epoch };
    const answer: AnswerMessage = { quotaAnswer: { ...decision, ...stated } };
    datagrams.send(answer, [ask.from]);
  };

  return {
    debit: (organisation, tokens, hasFreeCapacity) =>
      usesGranter(organisation)
        ? debitAtGranter(organisation, tokens, hasFreeCapacity)
        : quota.debit(organisation, tokens, hasFreeCapacity),
    recordReport: granters.confirm,
    receive: (message) => {
      if (isAsk(message)) answerAsk(message);
      else if (isNotice(message)) quota.applyNotice(message.quotaNotice);
      else if (isAnswer(message)) asks.settle(message.quotaAnswer.id, message.quotaAnswer);
      else return false;
      return true;
    },
  };
}
