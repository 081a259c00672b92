/** Checks each piece of work when a back end begins with it. */
import type { RequestId } from '@hibiscusbank/core';
import type { UpstreamCall } from '@hibiscusbank/engines';
import type { UpstreamEntry } from '@hibiscusbank/settings';
import type { Disturbances } from './disturbances.js';
import type { EngineObserver } from './engine-port.js';
import type { FakeUpstream, UpstreamObserver } from './fake-upstreams.js';
import type { Instance } from './fleet.js';
import type { Journal } from './journal.js';
import type { Call, Traffic } from './traffic.js';

/** Drains and withdrawals take effect within this time. */
const EFFECT_MS = 5_000;

export interface WorkChecks {
  createEngineObserver(instance: () => Instance): EngineObserver;
  createUpstreamObserver(instance: () => Instance): UpstreamObserver;
  /** Records that the platform accepted a drain; the name is `dc/<name>` or `upstream/<id>`. */
  setOut(name: string): void;
  setIn(name: string): void;
  setWithdrawn(key: string): void;
  /** The call for which a request id was used. */
  findCall(requestId: string): Call | undefined;
  /** Whether any upstream ran a booking or lookup. */
  hasRun(call: Call): boolean;
}

export interface WorkCheckOptions {
  readonly nowMs: () => number;
  readonly journal: Journal;
  readonly traffic: () => Traffic;
  readonly disturbances: () => Disturbances;
}

/** Requests sent before the first refusal of a cold upstream have ended after this time. */
const COLD_GRACE_MS = 1_000;

/** The router may double the limit once within `coldStepMs`, which the cold starts of a run last. */
const COLD_GROWTH = 2;

const CALL_MARK = /\[\[call (\d+)\]\]/;

/** Creates the checks. */
export function createWorkChecks(options: WorkCheckOptions): WorkChecks {
  const { nowMs, journal } = options;
  const outSince = new Map<string, number>();
  const withdrawnSince = new Map<string, number>();
  const callByRequest = new Map<string, Call>();
  const runsByRequest = new Map<string, number>();
  const runsByKey = new Map<string, number>();
  const ran = new Set<Call>();

  const isLate = (sinceMs: number | undefined, atMs: number, instance: Instance): boolean =>
    sinceMs !== undefined &&
    atMs - Math.max(sinceMs, options.disturbances().lastMs(instance)) > EFFECT_MS;

  const checkPlace = (entry: UpstreamEntry, instance: Instance, what: string): void => {
    for (const name of [`dc/${entry.dataCentre}`, `upstream/${entry.id}`]) {
      if (isLate(outSince.get(name), nowMs(), instance)) {
        journal.fail('no_work_when_out', `${what} from ${instance.vm.id} at ${entry.id}, ${name}`);
      }
    }
  };
  /** An upstream that turned cold without warning gets too much until its first refusal. */
  const checkCold = ({ entry, core, refusedColdAtMs }: FakeUpstream): void => {
    const { cold, running } = core.readState();
    if (!cold || refusedColdAtMs === undefined) return;
    journal.count('cold_runs');
    const knownAt = Math.max(refusedColdAtMs, options.disturbances().lastSplitMs());
    if (nowMs() - knownAt <= COLD_GRACE_MS || running <= COLD_GROWTH * entry.coldLimit) return;
    journal.fail('cold_limit', `${entry.id} runs ${running} requests in cold start`);
  };
  const checkCaller = (
    call: Call,
    instance: Instance,
    organisation: string | undefined,
    requestId: RequestId | string,
  ): void => {
    callByRequest.set(requestId, call);
    if (organisation !== call.key.entry.organisation) {
      journal.fail('own_organisation', `call ${call.id} ran for ${organisation}`);
    }
    if (isLate(withdrawnSince.get(call.key.text), call.connectedAtMs, instance)) {
      journal.fail('withdrawn_key', `call ${call.id} from ${instance.vm.id} ran`);
    }
  };
  const countRun = (counts: Map<string, number>, name: string, requirement: string): void => {
    const count = (counts.get(name) ?? 0) + 1;
    counts.set(name, count);
    if (count > 1) journal.fail(requirement, `${name} ran ${count} times`);
  };
  const findMarked = (text: string | undefined): Call | undefined =>
    text === undefined ? undefined : options.traffic().find(Number(text));
  const checkPlain = (call: Call, sent: UpstreamCall): void => {
    ran.add(call);
    if (JSON.stringify(sent.headers).includes(call.key.text)) {
      journal.fail('hidden_key', `call ${call.id} showed its key to ${sent.address}`);
    }
    if (call.kind === 'plan') return;
    countRun(runsByRequest, String(sent.headers['x-request-id']), 'request_once');
    const key = sent.headers['idempotency-key'];
    if (key !== undefined) countRun(runsByKey, String(key), 'idempotency_key_once');
  };

  return {
    createEngineObserver: (instance) => ({
      onPrefill: (engine, sent) => {
        checkPlace(engine.entry, instance(), `prefill of ${sent.requestId}`);
        const call = findMarked(CALL_MARK.exec(sent.prompt)?.[1]);
        if (call === undefined) journal.fail('own_prompt', `${sent.requestId} has no mark`);
        else checkCaller(call, instance(), sent.organisation, sent.requestId);
      },
      onDecode: (engine, sent) => {
        const call = callByRequest.get(sent.requestId);
        if (call !== undefined) checkCaller(call, instance(), sent.organisation, sent.requestId);
        checkPlace(engine.entry, instance(), `decode of ${sent.requestId}`);
      },
    }),
    createUpstreamObserver: (instance) => (upstream, sent) => {
      checkCold(upstream);
      checkPlace(upstream.entry, instance(), `request ${String(sent.headers['x-request-id'])}`);
      const call = findMarked(String(sent.headers['x-soak-call']));
      if (call === undefined) {
        journal.fail('own_headers', `${upstream.entry.id} got an unknown call`);
        return;
      }
      const organisation = String(sent.headers['x-hibiscusbank-organisation']);
      checkCaller(call, instance(), organisation, String(sent.headers['x-request-id']));
      checkPlain(call, sent);
    },
    setOut: (name) => {
      if (!outSince.has(name)) outSince.set(name, nowMs());
    },
    setIn: (name) => {
      outSince.delete(name);
    },
    setWithdrawn: (key) => {
      if (!withdrawnSince.has(key)) withdrawnSince.set(key, nowMs());
    },
    findCall: (requestId) => callByRequest.get(requestId),
    hasRun: (call) => ran.has(call),
  };
}
