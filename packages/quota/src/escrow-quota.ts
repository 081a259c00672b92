/** The fleet-wide quota on one node: the shares that it holds and the debits that it sends. */
import { createRandom, hash32, repeatUntilAborted, sleep } from '@hibiscusbank/core';
import type { OrganisationId, Telemetry } from '@hibiscusbank/core';
import { configurationKeys } from '@hibiscusbank/configuration';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { Membership, PeerNetwork } from '@hibiscusbank/peers';
import type { ObjectApi } from '@hibiscusbank/object-api';
import { createAdoption } from './adoption.js';
import { createBorrowing } from './borrowing.js';
import type { Lender } from './borrowing.js';
import { createQuotaClient } from './client.js';
import { createCoordinator } from './coordinator.js';
import { createHolder } from './holder.js';
import { createHoldings } from './holdings.js';
import { createQuotaMetrics } from './metrics.js';
import { findHolders, findFraction, isSameSet } from './ring.js';
import { createRings } from './rings.js';
import { createSpendingGuard } from './spending-guard.js';
import type { Quota } from './types.js';

const ORGANISATION_PREFIX = 'config/organisations/';
const ADOPTION_INTERVAL_MS = 250;
const COORDINATION_INTERVAL_MS = 1_000;
const MAX_HANDOVER_WAIT_MS = 3_000;
const HANDOVER_CHECK_INTERVAL_MS = 50;
const MAX_REMOVAL_ATTEMPTS = 3;

export interface EscrowQuotaOptions {
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly configuration: ConfigurationReplica;
  readonly objectApi: ObjectApi;
  readonly telemetry: Telemetry;
}

/** Creates the quota. RPC handlers are registered at once; periodic tasks run from `start` on. */
export function createEscrowQuota(options: EscrowQuotaOptions): Quota {
  const { network, membership, configuration, objectApi, telemetry } = options;
  const { vm: self, dataCentre } = network.self;
  const metrics = createQuotaMetrics(telemetry.metrics.registry);
  const stopping = new AbortController();
  let createdFirstRing = false;

  const guard = createSpendingGuard(membership);
  const rings = createRings(configuration);
  const holdings = createHoldings(self);

  const readRing = async (): Promise<boolean> => {
    const read = await objectApi.get(configurationKeys.ring(dataCentre));
    if (read.isErr() || read.value === undefined) return false;
    rings.apply(dataCentre, read.value.value, read.value.version);
    return true;
  };

  const listLenders = (organisation: OrganisationId): readonly Lender[] => {
    const limits = configuration.organisation(organisation);
    if (limits === undefined) return [];
    const names = new Set([dataCentre, ...configuration.dataCentres()]);
    return [...names].flatMap((name): Lender[] => {
      const ring = rings.get(name);
      if (ring === undefined) return [];
      return findHolders(organisation, ring.members)
        .filter((vm) => vm !== self)
        .map((vm) => {
          const fraction = findFraction(organisation, ring, vm);
          const isLocal = name === dataCentre;
          return {
            vm,
            isLocal,
            ratePerS: limits.ratePerS * fraction,
            capacity: limits.burst * fraction,
          };
        });
    });
  };

  const borrowing = createBorrowing({
    network,
    listLenders,
    random: createRandom(hash32(self)),
    telemetry,
    metrics,
    signal: stopping.signal,
  });

  const holder = createHolder({
    network,
    configuration,
    findFraction: holdings.findFraction,
    findOtherHolder: (organisation) =>
      findHolders(organisation, holdings.latest()?.members ?? []).find((vm) => vm !== self),
    startsFull: () => createdFirstRing,
    maySpend: guard.maySpend,
    onDeficit: borrowing.borrowFor,
    telemetry,
    metrics,
  });

  const adoption = createAdoption({
    network,
    readRing,
    guard,
    holdings,
    holder,
    telemetry,
    metrics,
  });

  rings.onRing((ring) => {
    if (ring.dataCentre !== dataCentre) return;
    const isOnlyMember = ring.members.every((vm) => vm === self);
    if (!isOnlyMember || !isSameSet(ring.target, [dataCentre])) createdFirstRing = false;
    adoption.apply(ring);
  });

  guard.onInterruption(() => {
    telemetry.log('spendingStopped', { vm: self });
    createdFirstRing = false;
    adoption.dropHoldings(false);
    holder.dropAll();
  });

  const coordinator = createCoordinator({
    objectApi,
    membership,
    configuration,
    latestRing: holdings.latest,
    applyRing: rings.apply,
    isAcknowledgedByAll: adoption.isAcknowledgedByAll,
    onCreated: (isFirst) => {
      createdFirstRing = isFirst;
      adoption.skipStartPause();
    },
    telemetry,
  });

  configuration.onChange((entry) => {
    if (entry.key.startsWith(ORGANISATION_PREFIX)) holder.refresh();
  });

  const advance = async (): Promise<void> => {
    guard.maySpend();
    rings.get(dataCentre);
    await adoption.advance();
  };

  const leaveRing = async (): Promise<void> => {
    for (let attempt = 0; attempt < MAX_REMOVAL_ATTEMPTS; attempt += 1) {
      if (await coordinator.removeSelf()) return;
    }
  };

  const waitUntil = async (isDone: () => boolean): Promise<void> => {
    for (
      let waitedMs = 0;
      waitedMs < MAX_HANDOVER_WAIT_MS && !isDone();
      waitedMs += HANDOVER_CHECK_INTERVAL_MS
    ) {
      await sleep(HANDOVER_CHECK_INTERVAL_MS, stopping.signal);
    }
  };

  return {
    ...createQuotaClient({ network, configuration, rings, telemetry }),
    balances: holder.balances,
    isReady: () => {
      const names = configuration.dataCentres();
      return !names.includes(dataCentre) || names.some((name) => rings.get(name) !== undefined);
    },
    start: async () => {
      void repeatUntilAborted(stopping.signal, () => ADOPTION_INTERVAL_MS, advance);
      void repeatUntilAborted(
        stopping.signal,
        () => COORDINATION_INTERVAL_MS,
        () => coordinator.step(),
      );
    },
    leave: async () => {
      adoption.dropHoldings(true);
      holder.refresh();
      await waitUntil(holder.isDrained);
      await leaveRing();
      await waitUntil(() => !holder.hasReleasedBalances());
    },
    stop: async () => stopping.abort(),
  };
}
