/**
 * Controls roll-outs: asks all nodes for evidence, instructs them, and reports the end. It runs on
 * every node and acts on the one that ranks first among the live nodes. Steps are not stored: without
 * instructions nodes fall back to the version in service, and the next controller continues with
 * the evidence that the nodes have.
 */
import { monotonicMs, rankByRendezvous, sleep } from '@hibiscusbank/core';
import type { PoolId, Telemetry } from '@hibiscusbank/core';
import type { PeerDatagrams } from '../peer-datagrams.js';
import type { KnownPeer } from '../peer-reports.js';
import type { EntryStore, StoredEntry } from '../ports.js';
import { expandEvidence, mergeEvidence } from './evidence.js';
import type { NodeEvidence } from './evidence.js';
import type { EvidenceMessage, StepMessage } from './messages.js';
import { planRollout } from './rollout-plan.js';
import type { RolloutPhase, RolloutStep } from './rollout-plan.js';
import type {
  RolloutBounds,
  RolloutKey,
  RolloutOrder,
  RolloutState,
  VersionedUpstream,
} from './types.js';
import { createVerdictTracker } from './verdict.js';
import type { VerdictTracker } from './verdict.js';
import type { VersionGate } from './version-gate.js';

const MIN_ROUND_MS = 400;
const MAX_ROUND_MS = 1_000;
/** Time of a round for each node, so that answers do not take the controller's processor. */
const ROUND_MS_PER_NODE = 10;
/** Rounds are shorter while the new version gets many requests. */
const GROWING_ROUND_SHARE = 0.5;
/** Rounds, and time at most, for which an instruction is valid. */
const VALID_ROUNDS = 5;
const MAX_VALID_MS = 3_000;
/** Rounds for which evidence is recent. */
const RECENT_ROUNDS = 3;
/** Gap between two rounds after which the evidence is collected anew: the process was paused. */
const MAX_GAP_MS = 1_500;
/** Time without instructions after which the next node by rank acts, the one after it a further time later. */
const TAKEOVER_PAUSE_MS = 1_500;
/** Rounds without an answer after which a node is no longer waited for. */
const SILENT_ROUNDS = 5;
/** Age of the last instruction of another controller up to which its phase is continued. */
const TAKEOVER_MS = 5_000;
/** Time after the start in which a node has not heard all peers yet. */
const STARTUP_MS = 3_000;

export interface RolloutControllerOptions {
  readonly self: KnownPeer;
  readonly startedAt: number;
  readonly bounds: RolloutBounds;
  /** Returns the names of the live peers. */
  readonly peers: () => readonly string[];
  readonly recipients: () => readonly KnownPeer[];
  /** Whether this node has live contact with a majority of the registered nodes. */
  readonly reachesMajority: () => boolean;
  readonly gate: VersionGate;
  /** Returns this node's evidence on an order. */
  readonly report: (order: RolloutOrder) => NodeEvidence;
  /** Returns the upstreams of a pool that may get requests, of all versions. */
  readonly usable: (pool: PoolId) => readonly (VersionedUpstream & {
    readonly slots: number | undefined;
    readonly role: string | undefined;
  })[];
  readonly store: Pick<EntryStore, 'read' | 'writeStatus'>;
  readonly decode: (entry: StoredEntry) => RolloutOrder | undefined;
  readonly datagrams: Pick<PeerDatagrams, 'send'>;
  readonly telemetry: Telemetry;
}

/** What a controller knows of its roll-out, for operators. */
export interface ControlView {
  readonly key: RolloutKey;
  readonly phase: RolloutPhase;
  readonly reason: string;
  readonly evidence: NodeEvidence;
}

export interface RolloutController {
  receive(message: EvidenceMessage['rolloutEvidence']): void;
  list(): readonly ControlView[];
  run(signal: AbortSignal): Promise<void>;
}

interface Control {
  readonly order: RolloutOrder;
  readonly since: number;
  readonly tracker: VerdictTracker;
  readonly evidence: Map<
    string,
    { readonly node: string; readonly evidence: NodeEvidence; readonly at: number }
  >;
  phase: RolloutPhase;
  phaseSince: number;
  reason: string;
  merged: NodeEvidence | undefined;
  roundAt: number;
  roundWallClock: number;
  isWriting: boolean;
}

/** Returns the capacity of the new version as a fraction of that of the others. */
export function computeCapacityShare(
  usable: ReturnType<RolloutControllerOptions['usable']>,
  order: RolloutOrder,
): number {
  const measure = (isNew: boolean): { slots: number; prefill: number; decode: number } => {
    const upstreams = usable.filter(({ version }) => (version === order.to) === isNew);
    return {
      slots: upstreams.reduce((sum, { slots }) => sum + (slots ?? 1), 0),
      prefill: upstreams.filter(({ role }) => role === 'prefill').length,
      decode: upstreams.filter(({ role }) => role === 'decode').length,
    };
  };
  const candidate = measure(true);
  const inService = measure(false);
  const lacksRole =
    (inService.prefill > 0 && candidate.prefill === 0) ||
    (inService.decode > 0 && candidate.decode === 0);
  if (candidate.slots === 0 || lacksRole) return 0;
  return inService.slots === 0 ? 1 : candidate.slots / inService.slots;
}

/** Creates the controller of one node. */
export function createRolloutController(options: RolloutControllerOptions): RolloutController {
  const { self, gate, store, datagrams, telemetry } = options;
  const controls = new Map<RolloutKey, Control>();
  let startedAt = Infinity;

  const roundMs = (): number =>
    Math.min(MAX_ROUND_MS, Math.max(MIN_ROUND_MS, options.recipients().length * ROUND_MS_PER_NODE));

  /**
   * Whether this node controls an order: it ranks first, or those that rank before it have not instructed
   * it for some time. In a large fleet a node that has ended counts as live for many seconds.
   */
  const isController = (order: RolloutOrder): boolean => {
    if (monotonicMs() - startedAt < STARTUP_MS || !options.reachesMajority()) return false;
    const ranked = rankByRendezvous(`rollout ${order.pool}`, [self.node, ...options.peers()]);
    const before = ranked.slice(0, ranked.indexOf(self.node));
    const sinceMs = gate.sinceInstructedMs(order, before);
    return before.length === 0 || sinceMs >= before.length * TAKEOVER_PAUSE_MS;
  };

  const createControl = (order: RolloutOrder): Control => {
    const now = monotonicMs();
    return {
      order,
      since: now,
      tracker: createVerdictTracker(),
      evidence: new Map(),
      // A roll-out that another node controlled until now goes on in its phase.
      phase: gate.lastPhase(order, TAKEOVER_MS) ?? 'canary',
      phaseSince: now,
      reason: '',
      merged: undefined,
      roundAt: now,
      roundWallClock: Date.now(),
      isWriting: false,
    };
  };

  /** Writes the state of an order, unless the store has a final one already. */
  const writeState = async (control: Control, state: RolloutState): Promise<void> => {
    const { key, name, to } = control.order;
    const read = await store.read(name);
    if (read.isErr()) return;
    const current = options.decode(read.value);
    if (current?.key !== key || current.state === 'completed' || current.state === 'rolled_back')
      return;
    if (current.state === state) return;
    // The store may have been slow; a decision to complete needs evidence that is still recent.
    if (state === 'completed' && monotonicMs() - control.roundAt > MAX_GAP_MS) return;
    const written = await store.writeStatus(name, { state, to }, read.value);
    telemetry.log('rolloutReported', {
      pool: control.order.pool,
      to,
      state,
      written: written.isOk(),
      reason: control.reason,
    });
  };

  const report = (control: Control, state: RolloutState): void => {
    if (control.isWriting) return;
    control.isWriting = true;
    void writeState(control, state).finally(() => {
      control.isWriting = false;
    });
  };

  const instruct = (control: Control, step: RolloutStep): void => {
    const { node, host, port } = self;
    const message: StepMessage = {
      rolloutStep: {
        key: control.order.key,
        from: { node, host, port },
        state: step.state === 'rolled_back' ? 'rolled_back' : 'running',
        phase: step.phase,
        shares: step.shares,
        otherShare: step.otherShare,
        validMs: Math.min(MAX_VALID_MS, roundMs() * VALID_ROUNDS),
      },
    };
    gate.applyStep(message.rolloutStep);
    datagrams.send(message, options.recipients());
  };

  /** Whether this process was paused since the last round; its evidence is out of date then. */
  const wasPaused = (control: Control): boolean =>
    monotonicMs() - control.roundAt > MAX_GAP_MS ||
    Math.abs(Date.now() - control.roundWallClock) > MAX_GAP_MS;

  /** Whether a node has not answered for so long that its instructions have expired. */
  const isSilent = ({ since, evidence }: Control, node: string): boolean => {
    const heard = [...evidence.values()].filter((each) => each.node === node).map(({ at }) => at);
    return monotonicMs() - Math.max(since, ...heard) > roundMs() * SILENT_ROUNDS;
  };

  const plan = (control: Control): RolloutStep => {
    const { order } = control;
    const { phase, phaseSince } = control;
    const none = { phase, shares: {}, otherShare: 0 };
    if (gate.isRolledBack(order))
      return { state: 'rolled_back', ...none, reason: control.reason || 'rolled back before' };
    const now = monotonicMs();
    const recentSince = now - roundMs() * RECENT_ROUNDS;
    const all = [...control.evidence.values()];
    const recent = new Set(all.filter(({ at }) => at >= recentSince).map(({ node }) => node));
    // Requests in progress at a node that stopped answering are unknown; its other totals hold.
    const merged = mergeEvidence([
      options.report(order),
      ...all.map(({ evidence, at }) =>
        at >= recentSince ? evidence : { ...evidence, running: 0 },
      ),
    ]);
    control.merged = merged;
    if (!gate.hasOtherVersions(order) && merged.ageMs >= MAX_GAP_MS)
      return { state: 'completed', ...none, otherShare: 1, reason: 'no other version is left' };
    const usable = options.usable(order.pool);
    const candidates = usable.filter(({ version }) => version === order.to).length;
    return planRollout({
      progress: { phase, phaseMs: now - phaseSince },
      durationMs: order.durationMs,
      hasEngines: usable.some(({ role }) => role !== undefined),
      bounds: options.bounds,
      evidence: merged,
      verdict: control.tracker.update(merged, candidates),
      capacityShare: computeCapacityShare(usable, order),
      isComplete: options.peers().every((peer) => recent.has(peer) || isSilent(control, peer)),
    });
  };

  const runRound = (control: Control): void => {
    const isStale = wasPaused(control);
    control.roundAt = monotonicMs();
    control.roundWallClock = Date.now();
    if (isStale) {
      control.evidence.clear();
      control.phase = 'canary';
      control.phaseSince = control.roundAt;
      instruct(control, {
        state: 'running',
        phase: 'canary',
        shares: {},
        otherShare: 0,
        reason: '',
      });
      return;
    }
    const step = plan(control);
    if (step.phase !== control.phase || step.state !== 'running') {
      telemetry.log('rolloutStep', {
        pool: control.order.pool,
        to: control.order.to,
        state: step.state,
        phase: step.phase,
        reason: step.reason,
        ageMs: control.merged?.ageMs,
        sent: control.merged?.sent,
        running: control.merged?.running,
      });
    }
    if (step.phase !== control.phase) {
      control.phase = step.phase;
      control.phaseSince = control.roundAt;
    }
    control.reason = step.reason;
    instruct(control, step);
    if (step.state !== 'running' || control.order.state === undefined) report(control, step.state);
  };

  const step = (): void => {
    const open = gate
      .orders()
      .filter(({ state }) => state !== 'completed' && state !== 'rolled_back')
      .filter(isController);
    for (const key of controls.keys())
      if (!open.some((order) => order.key === key)) controls.delete(key);
    for (const order of open) {
      const control = controls.get(order.key) ?? createControl(order);
      controls.set(order.key, Object.assign(control, { order }));
      runRound(control);
    }
  };

  return {
    receive: ({ key, node, startedAt: processStart, evidence }) => {
      const control = controls.get(key);
      control?.evidence.set(`${node} ${processStart}`, {
        node,
        evidence: expandEvidence(evidence),
        at: monotonicMs(),
      });
    },
    list: () =>
      [...controls.values()].flatMap(({ order, phase, reason, merged }) =>
        merged === undefined ? [] : [{ key: order.key, phase, reason, evidence: merged }],
      ),
    run: async (signal) => {
      startedAt = monotonicMs();
      while (!signal.aborted) {
        step();
        const isGrowing = [...controls.values()].some(({ phase }) => phase !== 'canary');
        await sleep(isGrowing ? roundMs() * GROWING_ROUND_SHARE : roundMs(), signal);
      }
    },
  };
}
