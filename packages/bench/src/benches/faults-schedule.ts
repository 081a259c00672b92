/** The faults of the faults bench and their times. */
import { sleep } from '@hibiscusbank/core';
import type { Random } from '@hibiscusbank/core';
import type { ScheduledFault } from '../harness/schedule.js';
import type { SiteNode } from '../harness/site.js';
import type { FaultsSite } from './faults-site.js';

const RESTART_PAUSE_MS = 1_500;
const REFUSE_MS = 3_000;
const STALL_MS = 2_000;
const MS_PER_S = 1_000;
const OUTAGE_START_S = 3;
const MAX_OUTAGE_S = 20;
/** The last kill comes this long before the end of the load. */
const LAST_FAULT_S = 2;
const LOST_ANSWERS_S = 1.5;
const LOST_ANSWER_RATE = 0.5;
/** Spread of the times of faults between seeds. */
const JITTER_S = 0.4;

/** A killed process, whose connections break at that time. */
export interface Kill {
  readonly origin: string;
  readonly atMs: number;
}

export interface FaultScheduleOptions {
  readonly parts: FaultsSite;
  readonly random: Random;
  readonly loadS: number;
  readonly kills: Kill[];
  /** Reads the violations of a node before it forgets them. */
  readonly beforeKill: () => Promise<void>;
}

/** Draws the schedule of a seed. */
export function createFaultSchedule(options: FaultScheduleOptions): readonly ScheduledFault[] {
  const { parts, random, loadS, kills } = options;
  const { site, prefills, decodes, desks } = parts;
  const { objectStandin, vmList } = site;
  const outageS = Math.min(MAX_OUTAGE_S, loadS - 2 * OUTAGE_START_S);

  const kill = async (node: SiteNode | undefined): Promise<void> => {
    if (node === undefined) return;
    await options.beforeKill();
    kills.push({ origin: node.url, atMs: performance.now() });
    node.process.signal('SIGKILL');
    await node.process.exited;
    await sleep(RESTART_PAUSE_MS);
    site.restart(node);
  };
  const killDecode = (): void => {
    const engine = random.pick(decodes)?.standin;
    engine?.setFaults({ dieAfterTokens: 10 });
    engine?.setFaults({ refuse: true }, REFUSE_MS);
  };
  const loseAnswers = (): void =>
    objectStandin.setFaults({ loseAnswerRate: LOST_ANSWER_RATE }, LOST_ANSWERS_S * MS_PER_S);
  const startOutage = (): void => {
    objectStandin.setFaults({ outage: 'refuse' }, outageS * MS_PER_S);
    vmList.setFaults({ outage: 'refuse' }, outageS * MS_PER_S);
  };
  const turnCold = (): void => {
    random.pick(decodes)?.standin.setFaults({ turnCold: true });
    random.pick(desks)?.standin.setFaults({ turnCold: true });
  };
  const cutDesks = (): void => {
    random.pick(desks)?.standin.setFaults({ cutBefore: 2, cutAfter: 2 });
  };
  const share = (part: number): number =>
    Math.min(loadS - 2 * LAST_FAULT_S, part * loadS + random.next() * JITTER_S);
  const pickNode = (): SiteNode | undefined => random.pick(site.nodes);
  const lastNode = pickNode();

  return [
    {
      atS: OUTAGE_START_S - LOST_ANSWERS_S,
      name: 'answers of the platform lost',
      run: loseAnswers,
    },
    { atS: OUTAGE_START_S, name: `platform out for ${outageS} s`, run: startOutage },
    { atS: OUTAGE_START_S + outageS, name: 'answers of the platform lost', run: loseAnswers },
    { atS: share(0.06), name: 'connections of an upstream cut', run: cutDesks },
    { atS: share(0.15), name: 'node killed', run: () => kill(site.nodes[0]) },
    { atS: share(0.25), name: 'decode engine dies', run: killDecode },
    {
      atS: share(0.33),
      name: 'transfers stalled',
      run: () => random.pick(decodes)?.standin.setFaults({ stallTransfers: true }, STALL_MS),
    },
    { atS: share(0.42), name: 'upstreams turn cold', run: turnCold },
    { atS: share(0.5), name: 'node killed', run: () => kill(site.nodes[3]) },
    {
      atS: share(0.6),
      name: 'prefill engine refuses',
      run: () => random.pick(prefills)?.standin.setFaults({ refuse: true }, REFUSE_MS),
    },
    {
      atS: share(0.68),
      name: 'upstream refuses',
      run: () => random.pick(desks)?.standin.setFaults({ refuse: true }, STALL_MS),
    },
    { atS: share(0.74), name: 'decode engine dies', run: killDecode },
    { atS: share(0.8), name: 'node killed', run: () => kill(site.nodes[5]) },
    { atS: share(0.85), name: 'connections of an upstream cut', run: cutDesks },
    { atS: loadS - LAST_FAULT_S, name: 'node killed', run: () => kill(lastNode) },
  ];
}
