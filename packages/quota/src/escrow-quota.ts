/** The fleet-wide quota of one node: its shares as a holder and its debits as a client. */
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
import { findHolders, findPart, isSameSet } from './ring.js';
import { createRings } from './rings.js';
import { createSpendingGuard } from './spending-guard.js';
import type { Quota } from './types.js';

const ORGANISATION_PREFIX = 'config/organisations/';
const ADOPTION_INTERVAL_MS = 250;
const COORDINATION_INTERVAL_MS = 1_000;
const HANDOVER_WAIT_MS = 3_000;
const HANDOVER_CHECK_MS = 50;
const MAX_REMOVAL_ATTEMPTS = 3;

export interface EscrowQuotaOptions {
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly configuration: ConfigurationReplica;
  readonly objectApi: ObjectApi;
  readonly telemetry: Telemetry;
}

/** Creates the quota. Its methods are registered at once; nothing runs before `start`. */
export function createEscrowQuota(options: EscrowQuotaOptions): Quota {
  const { network, membership, configuration, objectApi, telemetry } = options;
  const { vm: self, dataCentre } = network.self;
  const metrics = createQuotaMetrics(telemetry.metrics.registry);
  const stopping = new AbortController();
  let isFounder = false;

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
          const part = findPart(organisation, ring, vm);
          const isNear = name === dataCentre;
          return { vm, isNear, ratePerS: limits.ratePerS * part, capacity: limits.burst * part };
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
    findPart: holdings.findPart,
    findPartner: (organisation) =>
      findHolders(organisation, holdings.latest()?.members ?? []).find((vm) => vm !== self),
    startsFull: () => isFounder,
    mayContinue: guard.mayContinue,
    onDeficit: borrowing.wake,
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
    const isAlone = ring.members.every((vm) => vm === self);
    if (!isAlone || !isSameSet(ring.target, [dataCentre])) isFounder = false;
    adoption.apply(ring);
  });

  guard.onLapse(() => {
    telemetry.log('spendingStopped', { vm: self });
    isFounder = false;
    adoption.renounce(false);
    holder.dropAll();
  });

  const coordinator = createCoordinator({
    objectApi,
    membership,
    configuration,
    latest: holdings.latest,
    applyRing: rings.apply,
    isAcknowledgedByAll: adoption.isAcknowledgedByAll,
    onCreated: (isFirst) => {
      isFounder = isFirst;
      adoption.skipStartPause();
    },
    telemetry,
  });

  configuration.onChange((entry) => {
    if (entry.key.startsWith(ORGANISATION_PREFIX)) holder.refresh();
  });

  const advance = async (): Promise<void> => {
    guard.mayContinue();
    rings.get(dataCentre);
    await adoption.advance();
  };

  const leaveRing = async (): Promise<void> => {
    for (let attempt = 0; attempt < MAX_REMOVAL_ATTEMPTS; attempt += 1) {
      if (await coordinator.removeSelf()) return;
    }
  };

  const waitUntil = async (isDone: () => boolean): Promise<void> => {
    for (let waited = 0; waited < HANDOVER_WAIT_MS && !isDone(); waited += HANDOVER_CHECK_MS) {
      await sleep(HANDOVER_CHECK_MS, stopping.signal);
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
      adoption.renounce(true);
      holder.refresh();
      await waitUntil(holder.isDrained);
      await leaveRing();
      await waitUntil(() => !holder.hasGivenUp());
    },
    stop: async () => stopping.abort(),
  };
}
