/** State and services shared by the request handlers of a serving node. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type {
  DataCentreId,
  OrganisationId,
  PoolId,
  Telemetry,
  UpstreamId,
} from '@hibiscusbank/core';
import { monotonicMs } from '@hibiscusbank/core';
import type { Allocation } from './allocation/index.js';
import { listOfVersion } from './bound-version.js';
import type { ColdLimit, ColdPermit } from './cold-limit.js';
import type { CrashProtection } from './crash-protection.js';
import type { Directory, KnownUpstream } from './directory.js';
import { computeNeededShare, mayTakeUnknown } from './drain-admission.js';
import type { DrainView } from './drain-admission.js';
import type { DrainTime } from './drain-time.js';
import type { EnginePace } from './engine-pace.js';
import type { EngineQueue } from './engine-queue.js';
import type { MovedUpstreams } from './moved-upstreams.js';
import type { OrganisationQuota } from './organisation-quota.js';
import type { PermitAsk } from './permit-grants.js';
import type { PlacementContext } from './placement.js';
import type { UpstreamTransport } from './ports.js';
import type { PrefillRate } from './prefill-rate.js';
import type { PrefillWork } from './prefill-work.js';
import type { QuotaGrants } from './quota-grants.js';
import type { RequestLimits } from './request-limits.js';
import type { RetryBudget } from './retry-budget.js';
import type { Rollouts, UpstreamVersion } from './rollouts/index.js';
import type { ExpectedOutput, RunDurations } from './run-durations.js';
import type { StreamOrigins } from './stream-origins/index.js';
import type {
  ServingOrganisation,
  ServingPool,
  ServingRequest,
  ServingRoute,
  ServingUpstream,
} from './types.js';
import type { UnavailableUpstreams } from './unavailable-upstreams.js';
import type { UpstreamHealth } from './upstream-health.js';
import type { UpstreamLoads } from './upstream-loads.js';

/** Time of a response of a plain upstream in targets of its route, while none is known. */
const UNKNOWN_RUN_TARGETS = 4;

export interface ServingContext {
  readonly dataCentre: DataCentreId;
  readonly directory: Directory;
  readonly transport: UpstreamTransport;
  readonly quota: Pick<QuotaGrants, 'debit'> & Pick<OrganisationQuota, 'refund'>;
  readonly retryBudget: RetryBudget;
  readonly coldLimit: ColdLimit;
  /** Permits for requests to upstreams that limit the rate of all nodes. */
  readonly permits: Pick<RequestLimits, 'mayAsk' | 'nextPermitMs' | 'acquire' | 'expectedRate'>;
  readonly crashProtection: Pick<
    CrashProtection,
    'findBlocked' | 'beginRun' | 'mayRepeat' | 'isWaiting'
  >;
  /** Software versions that began the streams which callers resume. */
  readonly streamOrigins: StreamOrigins;
  /** Upstreams that stated that they leave or want no requests for a while. */
  readonly unavailable: Pick<UnavailableUpstreams, 'find' | 'returnMs' | 'recordSend'>;
  /** Moves the traffic of pools to other software versions. */
  readonly rollouts: Rollouts;
  /** Capacity that one node allocates for all. */
  readonly allocation: Allocation;
  readonly health: UpstreamHealth;
  /** Upstreams whose entry is out of date. */
  readonly moved: MovedUpstreams;
  /** Speed of decode engines. */
  readonly pace: EnginePace;
  /** Requests at plain upstreams, and runs at decode engines with the tokens reserved for them. */
  readonly loads: UpstreamLoads;
  /** Prompts in progress at prefill engines. */
  readonly prefillLoads: UpstreamLoads;
  /** Time that is left of this node's drain. */
  readonly drain: Pick<DrainTime, 'isDraining' | 'leftMs' | 'onTooLate'>;
  /** What the decisions of a drain depend on. */
  readonly drainView: () => DrainView;
  /** How long recent runs took. */
  readonly durations: RunDurations;
  readonly queueFor: (pool: PoolId) => EngineQueue<EngineReservation>;
  readonly prefillWork: Pick<PrefillWork, 'record'>;
  readonly prefillRate: PrefillRate;
  /** Whether the nodes of a data centre no longer report, so that it may be cut off. */
  readonly isDataCentreSilent: (dataCentre: DataCentreId) => boolean;
  /** Whether an engine was ordered to change role and still has its previous role. */
  readonly isChanging: (upstream: ServingUpstream) => boolean;
  readonly telemetry: Telemetry;
  readonly random: () => number;
}

/** KV cache memory and a slot that a decode engine holds for one request. */
export interface EngineReservation {
  readonly upstream: KnownUpstream;
  readonly id: string;
  readonly tokens: number;
  readonly coldPermit: ColdPermit;
  /** Stops counting the reservation in this node's load, and returns its permit if it is unused. */
  readonly release: () => void;
  /** Records a pause between two events of the run. */
  readonly observePause?: (ms: number) => void;
}

/** A request that passed routing, authentication and quota. */
export interface AdmittedRequest {
  readonly req: ServingRequest;
  readonly route: ServingRoute;
  readonly pool: ServingPool;
  readonly organisation: ServingOrganisation | undefined;
  readonly body: Buffer;
  /** Ids of the parts of the prompt and of the request itself, which can end upstreams. */
  readonly suspects: readonly string[];
  readonly startedAt: number;
  /** Monotonic time at which the maximum wait of the caller or the time limit of the route ends. */
  readonly deadlineAt: number;
  /** Aborted when the client disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  readonly outgoing: ServerResponse;
}

export interface HttpExchange {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

export function organisationOf(admitted: AdmittedRequest): OrganisationId | undefined {
  return admitted.organisation?.id;
}

/** Priority of an organisation that states none. */
const DEFAULT_ORGANISATION_PRIORITY = 1;
/** Priorities of routes that are told apart within one priority of organisations. */
const ROUTE_PRIORITIES = 3;
/** Least urgent priority that engines know. */
const MAX_PRIORITY = 9;

/**
 * Returns the priority of a request for capacity, 0 for the most urgent. Engines get that of the
 * organisation alone, since they preempt running requests for more urgent ones. That of its organisation goes first; among
 * organisations with the same one, that of the route decides.
 */
export function computePriority({ organisation, route }: AdmittedRequest): number {
  const first = organisation?.priority ?? DEFAULT_ORGANISATION_PRIORITY;
  const second = Math.min(ROUTE_PRIORITIES - 1, Math.max(0, route.priority));
  return Math.min(MAX_PRIORITY, first * ROUTE_PRIORITIES + second);
}

/** Returns the time left for a request, at least 1 ms. */
export function remainingMs({ deadlineAt }: AdmittedRequest): number {
  return Math.max(1, Math.floor(deadlineAt - monotonicMs()));
}

/** Returns what is known of the output of a request before it runs. */
export function readExpectedOutput({ pool, req, route }: AdmittedRequest): ExpectedOutput {
  const { usage } = req;
  const maxTokens = usage?.maxOutputTokens ?? 0;
  const expectedTokens = Math.min(maxTokens, usage?.expectedOutputTokens ?? maxTokens);
  const isStream = pool.engine !== undefined && route.kind === 'stream';
  const maxEvents = isStream ? Math.ceil(maxTokens / pool.engine.tokensPerEvent) : 0;
  return { maxTokens, expectedTokens, maxEvents };
}

/**
 * Returns the milliseconds that a draining node must have left to take a request, at most the time that
 * the request may last. While no run of its pool is known, a stream can last that long, and other
 * responses follow the target of their route.
 */
export function computeNeededMs(context: ServingContext, admitted: AdmittedRequest): number {
  const { pool, route } = admitted;
  const limitMs = remainingMs(admitted);
  const view = context.drainView();
  const share = computeNeededShare(view);
  const runMs = context.durations.estimateMs(pool.id, readExpectedOutput(admitted), share);
  if (runMs !== undefined) return Math.min(limitMs, runMs);
  if (route.kind !== 'stream') return Math.min(limitMs, route.targetMs * UNKNOWN_RUN_TARGETS);
  return mayTakeUnknown(view) ? 0 : limitMs;
}

/**
 * Returns the upstreams that a request may be sent to now; `failed` are those on which it failed. A stream
 * that has begun passes the `version` that began it.
 */
export function listCandidates(
  context: ServingContext,
  { pool, req, route }: AdmittedRequest,
  failed: ReadonlySet<UpstreamId>,
  version?: UpstreamVersion,
): readonly KnownUpstream[] {
  const { directory, rollouts } = context;
  if (version !== undefined) return listOfVersion(context, pool.id, version);
  return rollouts.select(directory.usable(pool.id), { id: req.id, route: route.id, failed });
}

/** Whether an upstream may still get requests. Checked immediately before a run is sent. */
export function mayStillServe(
  { directory, rollouts, unavailable }: ServingContext,
  upstream: ServingUpstream,
): boolean {
  return (
    directory.isUsable(upstream) &&
    rollouts.mayServe(upstream) &&
    unavailable.find(upstream) === undefined
  );
}

/** Returns the ask for a permit of a request that cannot wait for it. */
export function createPermitAsk(admitted: AdmittedRequest): PermitAsk {
  return {
    organisation: organisationOf(admitted) ?? '',
    priority: computePriority(admitted),
    onTargetMs: 0,
    maxWaitMs: 0,
  };
}

/**
 * Creates the view of upstreams on which placement decisions are based, for a request that can wait
 * for a permit for `maxPermitWaitMs`.
 */
export function createPlacementContext(
  context: ServingContext,
  pool: ServingPool,
  loads: UpstreamLoads,
  excluded: ReadonlySet<UpstreamId>,
  maxPermitWaitMs = 0,
): PlacementContext {
  const { coldLimit, health, permits, unavailable } = context;
  return {
    dataCentre: context.dataCentre,
    excluded,
    random: context.random,
    readState: (upstream) => {
      const isCold = upstream.coldUntil > monotonicMs();
      return {
        requests: loads.requests(upstream.id),
        tokens: loads.tokens(upstream.id),
        failureRate: health.failureRate(upstream.id),
        // Plain upstreams have no other place to run, so only failed calls count against them.
        isEjected:
          health.isEjected(upstream) ||
          (upstream.role !== undefined && context.isDataCentreSilent(upstream.dataCentre)) ||
          context.pace.isSlow(upstream.id),
        isCold,
        isChanging:
          context.isChanging(upstream) ||
          context.moved.has(upstream) ||
          unavailable.find(upstream) !== undefined,
        isWithinRateLimits:
          permits.mayAsk(upstream, maxPermitWaitMs) &&
          coldLimit.isAllowed(upstream, pool.coldRequestsPerSecond),
      };
    },
  };
}
