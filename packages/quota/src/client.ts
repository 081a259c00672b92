/** Debits and refunds on behalf of requests that reached this node. */
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
/** Holders outside the data centre that are tried when none inside answers. */
const MAX_REMOTE_HOLDERS = 2;
const UNREACHABLE_RETRY_MS = 1_000;
/** A debit that waits checks at this interval whether its holder still answers. */
const PING_INTERVAL_MS = 500;
const PING_TIMEOUT_MS = 500;
/** Pause between two rounds over all holders. */
const NO_HOLDER_PAUSE_MS = 100;

export interface ClientOptions {
  readonly network: PeerNetwork;
  readonly configuration: ConfigurationReplica;
  readonly rings: Rings;
  readonly telemetry: Telemetry;
}

type DebitResult = Result<Charge, RouterError>;

function refuse(organisation: OrganisationId, retryAfterMs: number): RouterError {
  return createError('rate_exceeded', `${organisation} is over its rate; retry later`, {
    retryAfterMs,
    effect: 'not_run',
  });
}

function unknown(req: DebitRequest): RouterError {
  return createError('not_found', `organisation ${req.organisation} is not configured`);
}

function checkRequest(
  req: DebitRequest,
  limits: Organisation | undefined,
): RouterError | undefined {
  if (limits === undefined) return unknown(req);
  if (req.tokens <= limits.burst) return undefined;
  return createError(
    'invalid_request',
    `the request may use ${req.tokens} tokens, more than the burst of ${limits.burst}; ` +
      'lower max_tokens or shorten the prompt',
    { effect: 'not_run', info: { burst: limits.burst } },
  );
}

/** Creates the calling side of the quota. */
export function createQuotaClient(options: ClientOptions): Pick<Quota, 'debit' | 'refund'> {
  const { network, configuration, rings } = options;
  const { dataCentre } = network.self;
  let turn = 0;

  const holdersIn = (organisation: OrganisationId, name: typeof dataCentre): readonly VmId[] => {
    const ring = rings.get(name);
    return ring === undefined ? [] : findHolders(organisation, ring.members);
  };

  const rankDataCentres = (organisation: OrganisationId): readonly (typeof dataCentre)[] =>
    rankByRendezvous(organisation, configuration.dataCentres());

  /** The holders of this data centre in turn, then the first holders of others. */
  const listNear = (organisation: OrganisationId): readonly VmId[] => {
    turn += 1;
    const near = [...holdersIn(organisation, dataCentre)];
    if (turn % HOLDERS_PER_DATA_CENTRE === 0) near.reverse();
    const far = rankDataCentres(organisation)
      .filter((name) => name !== dataCentre)
      .flatMap((name) => holdersIn(organisation, name).slice(0, 1));
    return [...near, ...far.slice(0, MAX_REMOTE_HOLDERS)];
  };

  /**
   * A debit above one holder's share combines several. All such debits of an organisation go to the
   * same holder, which serves them one after another, so that two of them never wait for each other.
   */
  const listForLarge = (organisation: OrganisationId): readonly VmId[] => {
    const first = rankDataCentres(organisation).flatMap((name) =>
      holdersIn(organisation, name).slice(0, 1),
    );
    return [...new Set([...first.slice(0, MAX_REMOTE_HOLDERS), ...listNear(organisation)])];
  };

  const listHolders = (req: DebitRequest, limits: Organisation): readonly VmId[] => {
    const dataCentres = Math.max(1, configuration.dataCentres().length);
    const share = limits.burst / (HOLDERS_PER_DATA_CENTRE * dataCentres);
    return req.tokens > share ? listForLarge(req.organisation) : listNear(req.organisation);
  };

  const sendRefund = (holder: VmId, params: RefundParams): void => {
    void network.call(holder, methods.refund, params, { timeoutMs: REFUND_TIMEOUT_MS });
  };

  /**
   * Resolves when a holder stops answering. A debit may wait in a holder's queue for seconds, so
   * its own silence does not tell a queue from a VM that has vanished without closing connections.
   */
  const waitForSilence = async (
    holder: VmId,
    signal: AbortSignal,
  ): Promise<Result<DebitReply, RouterError>> => {
    for (;;) {
      await sleep(PING_INTERVAL_MS, signal);
      if (signal.aborted) return err(createError('cancelled', 'the debit has ended'));
      const answer = await network.call(holder, methods.ping, {}, { timeoutMs: PING_TIMEOUT_MS });
      if (answer.isErr()) return err(answer.error);
    }
  };

  const ask = async (req: DebitRequest, holder: VmId, waitMs: number): Promise<DebitResult> => {
    const { organisation, requestId, tokens } = req;
    const id = `${requestId}/${randomUUID()}`;
    const cancel = (): void => sendRefund(holder, { organisation, id, tokens });
    req.signal?.addEventListener('abort', cancel, { once: true });
    const sentAt = monotonicMs();
    const done = new AbortController();
    const result = await Promise.race([
      network.call<DebitReply>(
        holder,
        methods.debit,
        { organisation, tokens, waitMs, id },
        { timeoutMs: waitMs + GRANT_VALIDITY_MS },
      ),
      waitForSilence(holder, done.signal),
    ]);
    done.abort();
    req.signal?.removeEventListener('abort', cancel);
    if (result.isErr()) {
      // The debit may have taken effect; whoever reads a reply after this must not use it.
      if (result.error.kind !== 'not_ready') cancel();
      return err(result.error);
    }
    const { granted, waitedMs, retryAfterMs } = result.value;
    if (!granted) return err(refuse(organisation, retryAfterMs));
    const isLate = monotonicMs() - sentAt - waitedMs > GRANT_VALIDITY_MS;
    if (!isLate && !req.signal?.aborted) {
      return ok({ organisation, requestId, holder, tokens, id });
    }
    cancel();
    return err(createError('timeout', `the grant of holder ${holder} came too late; retry`));
  };

  /** Asks the holders one after another; `undefined` when none of them could be asked. */
  const askHolders = async (
    req: DebitRequest,
    limits: Organisation,
    deadline: number,
  ): Promise<DebitResult | undefined> => {
    for (const holder of listHolders(req, limits)) {
      const waitMs = Math.max(0, deadline - monotonicMs());
      const result = await ask(req, holder, waitMs);
      if (result.isOk() || result.error.kind === 'rate_exceeded') return result;
      if (req.signal?.aborted || monotonicMs() >= deadline + GRANT_VALIDITY_MS) return undefined;
    }
    return undefined;
  };

  /** Holders can be between two rings or restarting, so the debit waits for one to answer. */
  const run = async (req: DebitRequest, limits: Organisation): Promise<DebitResult> => {
    const deadline = monotonicMs() + req.waitMs;
    for (;;) {
      const result = await askHolders(req, limits, deadline);
      if (result !== undefined) return result;
      if (req.signal?.aborted) {
        return err(
          createError('cancelled', 'the caller cancelled the debit', { effect: 'not_run' }),
        );
      }
      if (monotonicMs() + NO_HOLDER_PAUSE_MS >= deadline) break;
      await sleep(NO_HOLDER_PAUSE_MS, req.signal);
    }
    return err(
      createError('not_ready', `no holder of ${req.organisation}'s rate answered; retry shortly`, {
        effect: 'not_run',
        retryAfterMs: UNREACHABLE_RETRY_MS,
      }),
    );
  };

  return {
    debit: (req) => {
      const limits = configuration.organisation(req.organisation);
      const error = checkRequest(req, limits);
      if (limits === undefined || error !== undefined) {
        return new ResultAsync(Promise.resolve(err(error ?? unknown(req))));
      }
      return new ResultAsync(run(req, limits));
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
