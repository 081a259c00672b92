/** Sends debits and refunds to holders for the requests that reached this node. */
import { randomUUID } from 'node:crypto';
import { createError, monotonicMs, rankByRendezvous, sleep } from '@hibiscusbank/core';
import type { OrganisationId, RouterError, Telemetry, VmId } from '@hibiscusbank/core';
import type { ConfigurationReplica, Organisation } from '@hibiscusbank/configuration';
import type { PeerNetwork } from '@hibiscusbank/peers';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { GRANT_VALIDITY_MS } from './limits.js';
import { methods } from './messages.js';
import type { DebitReply, RefundParams } from './messages.js';
import { findHolders, HOLDERS_PER_DATA_CENTRE } from './ring.js';
import type { Rings } from './rings.js';
import type { Charge, DebitRequest, Quota } from './types.js';

const REFUND_TIMEOUT_MS = 1_000;
/** Number of holders in other data centres that are tried when no local holder answers. */
const MAX_REMOTE_HOLDERS = 2;
const NO_HOLDER_RETRY_AFTER_MS = 1_000;
/** Interval at which the client pings the holder of a waiting debit. */
const PING_INTERVAL_MS = 500;
const PING_TIMEOUT_MS = 500;
/** Delay between two rounds over all holders when none of them granted or refused the debit. */
const NO_HOLDER_RETRY_DELAY_MS = 100;

export interface ClientOptions {
  readonly network: PeerNetwork;
  readonly configuration: ConfigurationReplica;
  readonly rings: Rings;
  readonly telemetry: Telemetry;
}

type DebitResult = Result<Charge, RouterError>;

function createRateExceededError(organisation: OrganisationId, retryAfterMs: number): RouterError {
  return createError('rate_exceeded', `${organisation} is over its rate; retry later`, {
    retryAfterMs,
    effect: 'not_run',
  });
}

function createUnknownOrganisationError(req: DebitRequest): RouterError {
  return createError('not_found', `organisation ${req.organisation} is not configured`);
}

function checkRequest(
  req: DebitRequest,
  limits: Organisation | undefined,
): RouterError | undefined {
  if (limits === undefined) return createUnknownOrganisationError(req);
  if (req.tokens <= limits.burst) return undefined;
  return createError(
    'invalid_request',
    `the request may use ${req.tokens} tokens, more than the burst of ${limits.burst}; ` +
      'lower max_tokens or shorten the prompt',
    { effect: 'not_run', info: { burst: limits.burst } },
  );
}

/** Creates the client side of the quota. */
export function createQuotaClient(options: ClientOptions): Pick<Quota, 'debit' | 'refund'> {
  const { network, configuration, rings } = options;
  const { dataCentre } = network.self;
  let rotation = 0;

  const holdersIn = (organisation: OrganisationId, name: typeof dataCentre): readonly VmId[] => {
    const ring = rings.get(name);
    return ring === undefined ? [] : findHolders(organisation, ring.members);
  };

  const rankDataCentres = (organisation: OrganisationId): readonly (typeof dataCentre)[] =>
    rankByRendezvous(organisation, configuration.dataCentres());

  /** Returns the local holders in alternating order, then first holders of other data centres. */
  const listLocalFirst = (organisation: OrganisationId): readonly VmId[] => {
    rotation += 1;
    const local = [...holdersIn(organisation, dataCentre)];
    if (rotation % HOLDERS_PER_DATA_CENTRE === 0) local.reverse();
    const remote = rankDataCentres(organisation)
      .filter((name) => name !== dataCentre)
      .flatMap((name) => holdersIn(organisation, name).slice(0, 1));
    return [...local, ...remote.slice(0, MAX_REMOTE_HOLDERS)];
  };

  /**
   * Returns the holders for a debit above one holder's share, which needs tokens of several. All
   * such debits of an organisation go to the same holder, which serves them one after another, so
   * that no two of them wait for each other's tokens.
   */
  const listForLargeDebit = (organisation: OrganisationId): readonly VmId[] => {
    const firstHolders = rankDataCentres(organisation).flatMap((name) =>
      holdersIn(organisation, name).slice(0, 1),
    );
    return [
      ...new Set([...firstHolders.slice(0, MAX_REMOTE_HOLDERS), ...listLocalFirst(organisation)]),
    ];
  };

  const listHolders = (req: DebitRequest, limits: Organisation): readonly VmId[] => {
    const dataCentres = Math.max(1, configuration.dataCentres().length);
    const burstPerHolder = limits.burst / (HOLDERS_PER_DATA_CENTRE * dataCentres);
    return req.tokens > burstPerHolder
      ? listForLargeDebit(req.organisation)
      : listLocalFirst(req.organisation);
  };

  const sendRefund = (holder: VmId, params: RefundParams): void => {
    void network.call(holder, methods.refund, params, { timeoutMs: REFUND_TIMEOUT_MS });
  };

  /**
   * Resolves with an error when the holder does not answer a ping. A debit may wait in a holder's
   * queue for seconds, so without pings a queued debit cannot be told from one sent to a VM that
   * went down without closing its connections.
   */
  const waitForPingFailure = async (
    holder: VmId,
    signal: AbortSignal,
  ): Promise<Result<DebitReply, RouterError>> => {
    for (;;) {
      await sleep(PING_INTERVAL_MS, signal);
      if (signal.aborted) return err(createError('cancelled', 'the debit has ended'));
      const reply = await network.call(holder, methods.ping, {}, { timeoutMs: PING_TIMEOUT_MS });
      if (reply.isErr()) return err(reply.error);
    }
  };

  const requestDebit = async (
    req: DebitRequest,
    holder: VmId,
    waitMs: number,
  ): Promise<DebitResult> => {
    const { organisation, requestId, tokens } = req;
    const id = `${requestId}/${randomUUID()}`;
    const cancel = (): void => sendRefund(holder, { organisation, id, tokens });
    req.signal?.addEventListener('abort', cancel, { once: true });
    const sentAt = monotonicMs();
    const pingStop = new AbortController();
    const result = await Promise.race([
      network.call<DebitReply>(
        holder,
        methods.debit,
        { organisation, tokens, waitMs, id },
        { timeoutMs: waitMs + GRANT_VALIDITY_MS },
      ),
      waitForPingFailure(holder, pingStop.signal),
    ]);
    pingStop.abort();
    req.signal?.removeEventListener('abort', cancel);
    if (result.isErr()) {
      // The debit may have taken effect. A reply that arrives after this point must not be used.
      if (result.error.kind !== 'not_ready') cancel();
      return err(result.error);
    }
    const { granted, waitedMs, retryAfterMs } = result.value;
    if (!granted) return err(createRateExceededError(organisation, retryAfterMs));
    const isExpired = monotonicMs() - sentAt - waitedMs > GRANT_VALIDITY_MS;
    if (!isExpired && !req.signal?.aborted) {
      return ok({ organisation, requestId, holder, tokens, id });
    }
    cancel();
    return err(
      createError('timeout', `the grant of holder ${holder} arrived after it expired; retry`),
    );
  };

  /** Asks the holders in order; `undefined` when none of them granted or refused the debit. */
  const askHolders = async (
    req: DebitRequest,
    limits: Organisation,
    deadline: number,
  ): Promise<DebitResult | undefined> => {
    for (const holder of listHolders(req, limits)) {
      const waitMs = Math.max(0, deadline - monotonicMs());
      const result = await requestDebit(req, holder, waitMs);
      if (result.isOk() || result.error.kind === 'rate_exceeded') return result;
      if (req.signal?.aborted || monotonicMs() >= deadline + GRANT_VALIDITY_MS) return undefined;
    }
    return undefined;
  };

  /** Retries until the deadline, as holders may be restarting or about to adopt a new ring. */
  const debitUntilDeadline = async (
    req: DebitRequest,
    limits: Organisation,
  ): Promise<DebitResult> => {
    const deadline = monotonicMs() + req.waitMs;
    for (;;) {
      const result = await askHolders(req, limits, deadline);
      if (result !== undefined) return result;
      if (req.signal?.aborted) {
        return err(
          createError('cancelled', 'the caller cancelled the debit', { effect: 'not_run' }),
        );
      }
      if (monotonicMs() + NO_HOLDER_RETRY_DELAY_MS >= deadline) break;
      await sleep(NO_HOLDER_RETRY_DELAY_MS, req.signal);
    }
    return err(
      createError('not_ready', `no holder of ${req.organisation}'s rate answered; retry shortly`, {
        effect: 'not_run',
        retryAfterMs: NO_HOLDER_RETRY_AFTER_MS,
      }),
    );
  };

  return {
    debit: (req) => {
      const limits = configuration.organisation(req.organisation);
      const error = checkRequest(req, limits);
      if (limits === undefined || error !== undefined) {
        return new ResultAsync(Promise.resolve(err(error ?? createUnknownOrganisationError(req))));
      }
      return new ResultAsync(debitUntilDeadline(req, limits));
    },
    refund: (charge, tokens) => {
      if (tokens <= 0) return;
      sendRefund(charge.holder, {
        organisation: charge.organisation,
        id: charge.id,
        tokens: Math.min(tokens, charge.tokens),
      });
    },
  };
}
