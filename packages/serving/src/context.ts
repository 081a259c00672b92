/** What the handlers of a serving node share. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type {
  DataCentreId,
  OrganisationId,
  PoolId,
  Telemetry,
  UpstreamId,
} from '@hibiscusbank/core';
import { monotonicMs } from '@hibiscusbank/core';
import type { ColdLimit } from './cold-limit.js';
import type { Directory, KnownUpstream } from './directory.js';
import type { EngineQueue } from './engine-queue.js';
import type { OrganisationQuota } from './organisation-quota.js';
import type { ChoiceContext } from './placement.js';
import type { UpstreamTransport } from './ports.js';
import type { PrefillWork } from './prefill-work.js';
import type { RepeatBudget } from './repeat-budget.js';
import type {
  ServingOrganisation,
  ServingPool,
  ServingRequest,
  ServingRoute,
  ServingUpstream,
} from './types.js';
import type { UpstreamHealth } from './upstream-health.js';
import type { UpstreamLoads } from './upstream-loads.js';

export interface ServingContext {
  readonly dataCentre: DataCentreId;
  readonly directory: Directory;
  readonly transport: UpstreamTransport;
  readonly quota: OrganisationQuota;
  readonly budget: RepeatBudget;
  readonly cold: ColdLimit;
  readonly health: UpstreamHealth;
  /** Requests at plain upstreams and runs at decode engines, with the memory that they reserve. */
  readonly loads: UpstreamLoads;
  /** Prompts that prefill engines read. */
  readonly prefillLoads: UpstreamLoads;
  readonly queue: (pool: PoolId) => EngineQueue<EngineReservation>;
  readonly prefillWork: Pick<PrefillWork, 'record'>;
  /** Whether an engine was ordered to another role and still has the old one. */
  readonly isChanging: (upstream: ServingUpstream) => boolean;
  readonly telemetry: Telemetry;
  readonly random: () => number;
}

/** Memory and a slot that a decode engine keeps for one request. */
export interface EngineReservation {
  readonly upstream: KnownUpstream;
  readonly id: string;
  readonly tokens: number;
  /** Ends the count of the reservation among the node's loads. */
  readonly release: () => void;
}

/** A request that passed routing, key and quota. */
export interface AdmittedServing {
  readonly req: ServingRequest;
  readonly route: ServingRoute;
  readonly pool: ServingPool;
  readonly organisation: ServingOrganisation | undefined;
  readonly body: Buffer;
  readonly startedAt: number;
  /** Monotonic time at which the caller or the route gives up. */
  readonly deadlineAt: number;
  /** Aborted when the caller leaves or the deadline passes. */
  readonly signal: AbortSignal;
  readonly outgoing: ServerResponse;
}

export interface HttpExchange {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

export function organisationOf(admitted: AdmittedServing): OrganisationId | undefined {
  return admitted.organisation?.id;
}

/** Time left for a request. */
export function remainingMs({ deadlineAt }: AdmittedServing): number {
  return Math.max(1, Math.floor(deadlineAt - monotonicMs()));
}

/** Creates the view that choices take of upstreams. */
export function createChoiceContext(
  context: ServingContext,
  pool: ServingPool,
  loads: UpstreamLoads,
  excluded: ReadonlySet<UpstreamId>,
): ChoiceContext {
  const { cold, health } = context;
  return {
    dataCentre: context.dataCentre,
    excluded,
    random: context.random,
    read: (upstream) => {
      const isCold = upstream.coldUntil > monotonicMs();
      return {
        requests: loads.requests(upstream.id),
        tokens: loads.tokens(upstream.id),
        failureRate: health.failureRate(upstream.id),
        isEjected: health.isEjected(upstream),
        isCold,
        isChanging: context.isChanging(upstream),
        hasRoom: !isCold || cold.hasRoom(upstream.id, pool.coldRequestsPerSecond),
      };
    },
  };
}
