/** The faults of the faults bench and their times. */
import { sleep } from '@hibiscusbank/core';
import type { Random } from '@hibiscusbank/core';
import type { ScheduledFault } from '../harness/schedule.js';
import type { SiteNode } from '../harness/site.js';
import type { FaultsSite } from './faults-site.js';

const RESTART_DELAY_MS = 1_500;
const REFUSE_MS = 3_000;
const STALL_MS = 2_000;
const MS_PER_S = 1_000;
const OUTAGE_START_S = 3;
const MAX_OUTAGE_S = 20;
/** Time between the last kill and the end of the load. */
const LAST_KILL_BEFORE_END_S = 2;
const LOST_RESPONSES_S = 1.5;
const LOST_RESPONSE_RATE = 0.5;
/** Maximum random delay of a fault, which makes the schedules of different seeds differ. */
const JITTER_S = 0.4;

/** The kill of a node process, which breaks its connections. */
export interface Kill {
  readonly origin: string;
  readonly atMs: number;
}

export interface FaultScheduleOptions {
  readonly faultsSite: FaultsSite;
  readonly random: Random;
  readonly loadS: number;
  readonly kills: Kill[];
  /** Collects the violations of the nodes, since a killed node loses them. */
  readonly beforeKill: () => Promise<void>;
}

/** Creates the fault schedule. */
export function createFaultSchedule(options: FaultScheduleOptions): readonly ScheduledFault[] {
  const { faultsSite, random, loadS, kills } = options;
  const { site, prefillEngines, decodeEngines, plainUpstreams } = faultsSite;
  const { objectStandin, vmList } = site;
  const outageS = Math.min(MAX_OUTAGE_S, loadS - 2 * OUTAGE_START_S);

  const killNode = async (node: SiteNode | undefined): Promise<void> => {
    if (node === undefined) return;
    await options.beforeKill();
    kills.push({ origin: node.url, atMs: performance.now() });
    node.process.signal('SIGKILL');
    await node.process.exited;
    await sleep(RESTART_DELAY_MS);
    site.restart(node);
  };
  const crashDecodeEngine = (): void => {
    const engine = random.pick(decodeEngines)?.standin;
    engine?.setFaults({ dieAfterTokens: 10 });
    engine?.setFaults({ refuse: true }, REFUSE_MS);
  };
  const loseResponses = (): void =>
    objectStandin.setFaults({ loseAnswerRate: LOST_RESPONSE_RATE }, LOST_RESPONSES_S * MS_PER_S);
  const startOutage = (): void => {
    objectStandin.setFaults({ outage: 'refuse' }, outageS * MS_PER_S);
    vmList.setFaults({ outage: 'refuse' }, outageS * MS_PER_S);
  };
  const makeUpstreamsCold = (): void => {
    random.pick(decodeEngines)?.standin.setFaults({ turnCold: true });
    random.pick(plainUpstreams)?.standin.setFaults({ turnCold: true });
  };
  const cutUpstreamConnections = (): void => {
    random.pick(plainUpstreams)?.standin.setFaults({ cutBefore: 2, cutAfter: 2 });
  };
  const jitteredTimeS = (fraction: number): number =>
    Math.min(loadS - 2 * LAST_KILL_BEFORE_END_S, fraction * loadS + random.next() * JITTER_S);
  const pickNode = (): SiteNode | undefined => random.pick(site.nodes);
  const nodeKilledLast = pickNode();

  return [
    {
      atS: OUTAGE_START_S - LOST_RESPONSES_S,
      name: 'responses of the platform lost',
      run: loseResponses,
    },
    { atS: OUTAGE_START_S, name: `platform unavailable for ${outageS} s`, run: startOutage },
    { atS: OUTAGE_START_S + outageS, name: 'responses of the platform lost', run: loseResponses },
    {
      atS: jitteredTimeS(0.06),
      name: 'connections of an upstream broken',
      run: cutUpstreamConnections,
    },
    { atS: jitteredTimeS(0.15), name: 'node killed', run: () => killNode(site.nodes[0]) },
    { atS: jitteredTimeS(0.25), name: 'decode engine crashes', run: crashDecodeEngine },
    {
      atS: jitteredTimeS(0.33),
      name: 'transfers stalled',
      run: () => random.pick(decodeEngines)?.standin.setFaults({ stallTransfers: true }, STALL_MS),
    },
    { atS: jitteredTimeS(0.42), name: 'upstreams become cold', run: makeUpstreamsCold },
    { atS: jitteredTimeS(0.5), name: 'node killed', run: () => killNode(site.nodes[3]) },
    {
      atS: jitteredTimeS(0.6),
      name: 'prefill engine refuses',
      run: () => random.pick(prefillEngines)?.standin.setFaults({ refuse: true }, REFUSE_MS),
    },
    {
      atS: jitteredTimeS(0.68),
      name: 'upstream refuses',
      run: () => random.pick(plainUpstreams)?.standin.setFaults({ refuse: true }, STALL_MS),
    },
    { atS: jitteredTimeS(0.74), name: 'decode engine crashes', run: crashDecodeEngine },
    { atS: jitteredTimeS(0.8), name: 'node killed', run: () => killNode(site.nodes[5]) },
    {
      atS: jitteredTimeS(0.85),
      name: 'connections of an upstream broken',
      run: cutUpstreamConnections,
    },
    {
      atS: loadS - LAST_KILL_BEFORE_END_S,
      name: 'node killed',
      run: () => killNode(nodeKilledLast),
    },
  ];
}
