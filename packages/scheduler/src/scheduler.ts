/** The scheduler of one node: owner of its cells and client of all others. */
import { createError, createRandom, hash32, monotonicMs, sleep } from '@hibiscusbank/core';
import type { CellId, RequestId, Telemetry, UpstreamId } from '@hibiscusbank/core';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { Membership, PeerNetwork } from '@hibiscusbank/peers';
import { ResultAsync, err, errAsync } from 'neverthrow';
import { createCellChoice } from './cell-choice.js';
import { createCellHost } from './cell-host.js';
import { explainPool } from './explain.js';
import { createGrantLedger } from './grant-ledger.js';
import { createGrantReporter } from './grant-reporter.js';
import { CALL_TIMEOUT_MS } from './messages.js';
import type {
  AdoptParams,
  AdoptReply,
  AuditParams,
  AuditReply,
  CollectParams,
  CollectReply,
} from './messages.js';
import { createSchedulerMetrics } from './metrics.js';
import { createOwnerQueries } from './owner-queries.js';
import { createPeerCalls } from './peer-calls.js';
import { createPlacementClient } from './placement-client.js';
import { createTopology } from './topology.js';
import type { CellScheduler, Grant } from './types.js';

const LEAVE_POLL_INTERVAL_MS = 100;
const DEFAULT_LEAVE_LIMIT_MS = 30_000;
const ADOPT_ATTEMPTS = 5;
const ADOPT_RETRY_DELAY_MS = 200;

export interface SchedulerOptions {
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly configuration: ConfigurationReplica;
  readonly telemetry: Telemetry;
  /** Returns the epoch of the cell's lease if this VM holds it, otherwise `undefined`. */
  readonly findLeaseEpoch: (cell: CellId) => number | undefined;
  /** Returns whether this VM is one of the two that may use cold upstreams without the lease. */
  readonly hasColdShare: (cell: CellId) => boolean;
  /** Returns the prompt tokens that the upstream has cached, according to its cache events. */
  readonly findCachedTokens?: (upstream: UpstreamId, prefixHashes: readonly number[]) => number;
  /** Receives the prefix hashes of each prompt that is granted a prefill on an engine. */
  readonly onPrefill?: (upstream: UpstreamId, prefixHashes: readonly number[]) => void;
  /** Receives grants of dead nodes that no node resumed, to be cancelled on the engines. */
  readonly onAbandoned?: (grant: Grant) => void;
  /** Maximum time that `leave` waits for the release of this node's grants. */
  readonly leaveLimitMs?: number;
  readonly seed?: number;
}

/** Creates the scheduler. It owns no cells before `start`. */
export function createScheduler(options: SchedulerOptions): CellScheduler {
  const { network, membership, configuration, telemetry } = options;
  const { self } = network;
  const metrics = createSchedulerMetrics(telemetry);
  const calls = createPeerCalls(network);
  const topology = createTopology(configuration, membership);
  const random = createRandom(options.seed ?? hash32(self.vm));
  const choice = createCellChoice({ dataCentre: self.dataCentre, topology, random });
  const ledger = createGrantLedger(topology);
  const dependencies = { topology, calls, ledger, choice, telemetry, metrics };
  const reporter = createGrantReporter(dependencies);
  const placeRequest = createPlacementClient({ ...dependencies, reporter });
  const host = createCellHost({
    self: self.vm,
    topology,
    membership,
    configuration,
    telemetry,
    metrics,
    calls,
    findLeaseEpoch: options.findLeaseEpoch,
    hasColdShare: options.hasColdShare,
    findCachedTokens: options.findCachedTokens ?? (() => 0),
    onPrefill: options.onPrefill ?? (() => {}),
    onAbandoned: options.onAbandoned ?? (() => {}),
  });
  const queries = createOwnerQueries(host, topology, self.dataCentre);
  let unsubscribe = (): void => {};

  calls.handle<CollectParams, CollectReply>('cell.collect', async (params) =>
    ledger.collect(params),
  );
  calls.handle<AuditParams, AuditReply>('cell.audit', async ({ grants }) => ({
    unknown: grants.filter((id) => ledger.find(id) === undefined),
  }));

  const requestAdoption = async (
    requestId: RequestId,
    attempt: number,
    upstream: UpstreamId,
  ): Promise<AdoptReply> => {
    const plan = [...configuration.pools().keys()]
      .map((pool) => topology.findByUpstream(pool, upstream))
      .find((found) => found !== undefined);
    const owner = plan === undefined ? undefined : topology.findOwner(plan);
    if (plan === undefined || owner === undefined) return { moved: true };
    const params: AdoptParams = { cell: plan.id, requestId, attempt, upstream };
    const reply = await calls.call<AdoptReply>(owner, 'cell.adopt', params, CALL_TIMEOUT_MS);
    return reply.unwrapOr({ moved: true });
  };

  const adopt = async (
    requestId: RequestId,
    attempt: number,
    upstream: UpstreamId,
  ): Promise<void> => {
    for (let i = 0; i < ADOPT_ATTEMPTS; i += 1) {
      const reply = await requestAdoption(requestId, attempt, upstream);
      if (reply.filed !== undefined) ledger.add(reply.filed, []);
      if (!reply.moved) return;
      await sleep(ADOPT_RETRY_DELAY_MS);
    }
  };

  const place: CellScheduler['place'] = (req, signal) => {
    if (!configuration.pools().has(req.pool)) {
      const message = `pool ${req.pool} is not configured; add it to the pools table`;
      return errAsync(createError('not_found', message, { effect: 'not_run' }));
    }
    return ResultAsync.fromSafePromise(
      placeRequest(req, signal).catch((thrown: unknown) =>
        err(createError('internal', `placement failed: ${String(thrown)}; report it`)),
      ),
    ).andThen((result) => result);
  };

  const waitForReleases = async (): Promise<void> => {
    const limitMs = options.leaveLimitMs ?? DEFAULT_LEAVE_LIMIT_MS;
    const deadline = monotonicMs() + limitMs;
    while (ledger.live().length + reporter.pending() > 0 && monotonicMs() < deadline) {
      await sleep(LEAVE_POLL_INTERVAL_MS);
    }
  };

  return {
    ...queries,
    place,
    finishPrefill: (grant, report) => {
      ledger.markPrefilled(grant.id);
      reporter.reportPrefill(grant, report);
    },
    release: (grant, report) => {
      if (ledger.remove(grant.id, report)) reporter.release(grant, report);
    },
    adopt,
    findGrant: (requestId, attempt) => ledger.findByAttempt(requestId, attempt),
    ownedCells: () => host.hosted().map(({ cell }) => cell.summary()),
    explain: (pool) => explainPool(pool, { topology, host, choice }),
    start: async () => {
      unsubscribe = membership.onChange(() => reporter.confirmToNewOwners());
      host.start();
    },
    leave: async () => {
      host.leave();
      await waitForReleases();
    },
    stop: async () => {
      unsubscribe();
      host.stop();
      reporter.stop();
    },
  };
}
