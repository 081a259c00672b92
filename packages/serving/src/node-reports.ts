/** Connects the reports between nodes with the parts of a node that they inform. */
import type { Telemetry } from '@hibiscusbank/core';
import type { ChangingRoles } from './changing-roles.js';
import type { CrashProtection } from './crash-protection.js';
import type { DataCentreContact } from './data-centre-contact.js';
import { computeReturnMs } from './drain-admission.js';
import type { DrainTime } from './drain-time.js';
import type { LivePeers } from './live-peers.js';
import type { NodeRegistry } from './node-registry.js';
import type { OrganisationQuota } from './organisation-quota.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import type { PeerLists } from './peer-lists.js';
import { createPeerReports } from './peer-reports.js';
import type { KnownPeer, PeerReports } from './peer-reports.js';
import type { PrefillWork } from './prefill-work.js';
import type { RequestLimits } from './request-limits.js';
import type { StoreFeeds } from './store-feeds.js';
import type { UnavailableUpstreams } from './unavailable-upstreams.js';
import type { UpstreamLoads } from './upstream-loads.js';
import type { WatcherSelection } from './watcher-selection.js';

export interface NodeReportsOptions {
  readonly self: KnownPeer;
  readonly startedAt: number;
  readonly livePeers: LivePeers;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  readonly recipients: () => readonly KnownPeer[];
  readonly feeds: StoreFeeds;
  readonly lists: PeerLists;
  readonly isReady: () => boolean;
  readonly drainTime: DrainTime;
  /** Work at plain upstreams and decode engines, and at prefill engines. */
  readonly loads: UpstreamLoads;
  readonly prefillLoads: UpstreamLoads;
  readonly prefillWork: PrefillWork;
  readonly quota: OrganisationQuota;
  readonly changing: ChangingRoles;
  readonly crashProtection: CrashProtection;
  readonly limits: RequestLimits;
  readonly unavailable: UnavailableUpstreams;
  readonly watcherSelection: WatcherSelection;
  readonly contact: DataCentreContact;
  readonly registry: NodeRegistry;
  readonly onHeard: (node: string) => void;
  readonly telemetry: Telemetry;
}

/** Creates the reports of one node. */
export function createNodeReports(options: NodeReportsOptions): PeerReports {
  const { self, startedAt, livePeers, datagrams, feeds, lists, isReady, drainTime } = options;
  const { loads, prefillLoads, prefillWork, quota, changing, crashProtection } = options;
  const { limits, unavailable, watcherSelection, contact, registry, telemetry } = options;
  return createPeerReports({
    self,
    startedAt,
    livePeers,
    datagrams,
    peers: options.recipients,
    telemetry,
    readLocalState: () => ({
      isConnected: feeds.isConnected(),
      isReady: isReady(),
      returnsInMs: drainTime.isDraining() ? computeReturnMs(drainTime.leftMs()) : undefined,
      decode: loads.localReport(),
      prefill: prefillLoads.localReport(),
      spent: quota.spent(),
      spentNearby: quota.spentNearby(),
      revisions: feeds.revisions(),
      changing: changing.localOrders(),
      prefillMs: prefillWork.localTotals(),
      quarantined: crashProtection.report(),
      knowsQuarantines: crashProtection.knowsQuarantines(),
      limits: limits.report(),
      leaving: unavailable.report(),
    }),
    beforeRound: () => {
      watcherSelection.check();
      const silent = contact.check();
      silent.forEach(quota.markAbsent);
      for (const { node, dataCentre } of registry.peers()) {
        if (dataCentre !== undefined && silent.includes(dataCentre)) quota.markAbsent(node);
      }
    },
    onReport: (report) => {
      contact.record(report.dataCentre);
      options.onHeard(report.node);
      feeds.confirm(report.revisions);
      lists.checkRevisions();
      loads.applyPeer(report.node, report.decode);
      prefillLoads.applyPeer(report.node, report.prefill);
      prefillWork.applyPeer(report.node, report.startedAt, report.prefillMs);
      quota.applyReport(report);
      crashProtection.applyReport(report.quarantined, report.knowsQuarantines);
      limits.applyReport(report.limits);
      unavailable.applyReport(report.leaving);
    },
    onTimeout: (node) => {
      quota.markAbsent(node);
      loads.dropPeer(node);
      prefillLoads.dropPeer(node);
    },
  });
}
