/** Connects the allocation of capacity with what a node knows of upstreams and peers. */
import { dataCentreId } from '@hibiscusbank/core';
import type { PoolId, Telemetry } from '@hibiscusbank/core';
import { createAllocation } from './allocation/index.js';
import type { AllocationService } from './allocation/index.js';
import { listAllocationCandidates } from './allocation-candidates.js';
import type { ServingContext } from './context.js';
import type { Directory } from './directory.js';
import { createGranterSelection } from './granter-selection.js';
import type { PeerDatagrams } from './peer-datagrams.js';
import type { KnownPeer } from './peer-reports.js';

/**
 * Longest pause after asks that an allocator did not answer. Nodes of a large fleet notice only after many
 * seconds that it has ended; its next report ends the pause.
 */
const MAX_PAUSE_MS = 16_000;

export interface NodeAllocationOptions {
  readonly self: KnownPeer;
  readonly dataCentre: string;
  readonly peers: () => readonly KnownPeer[];
  readonly isSilent: (node: string) => boolean;
  readonly isActive: (pool: PoolId) => boolean;
  readonly directory: Pick<Directory, 'usable'>;
  readonly context: () => ServingContext;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  readonly telemetry: Telemetry;
}

/** Creates the allocation of one node. */
export function createNodeAllocation(options: NodeAllocationOptions): AllocationService {
  const { self, peers, isSilent, directory } = options;
  return createAllocation({
    self,
    dataCentre: dataCentreId(options.dataCentre),
    granters: createGranterSelection({ self, peers, isSilent, maxPauseMs: MAX_PAUSE_MS }),
    datagrams: options.datagrams,
    isActive: options.isActive,
    dataCentresOf: (pool, kind) =>
      directory
        .usable(pool)
        .filter(({ role }) => role === undefined || (role === 'prefill') === (kind === 'prefill'))
        .map(({ dataCentre }) => dataCentre),
    listCandidates: (cell) => listAllocationCandidates(options.context(), cell),
    random: Math.random,
    telemetry: options.telemetry,
  });
}
