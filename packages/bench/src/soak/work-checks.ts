/** Checks each request when a back end starts to run it. */
import type { RequestId } from '@hibiscusbank/core';
import type { UpstreamCall } from '@hibiscusbank/engines';
import type { UpstreamEntry } from '@hibiscusbank/settings';
import type { FaultHistory } from './fault-history.js';
import type { EngineObserver } from './engine-port.js';
import type { FakeUpstream, UpstreamObserver } from './fake-upstreams.js';
import type { NodeInstance } from './fleet.js';
import type { RunRecorder } from './run-recorder.js';
import type { Call, Traffic } from './traffic.js';

/** Maximum time until a drain or the withdrawal of a key takes effect. */
const MAX_EFFECT_DELAY_MS = 5_000;

export interface WorkChecks {
  createEngineObserver(instance: () => NodeInstance): EngineObserver;
  createUpstreamObserver(instance: () => NodeInstance): UpstreamObserver;
  /** Records that the platform accepted a drain; the name is `dc/<name>`, `vm/<id>` or `upstream/<id>`. */
  recordDrain(name: string): void;
  recordDrainEnd(name: string): void;
  recordWithdrawal(key: string): void;
  /** Returns the call for which a request id was used. */
  findCall(requestId: string): Call | undefined;
  /** Tells whether a plain upstream has started to run the call. */
  hasRun(call: Call): boolean;
}

export interface WorkCheckOptions {
  readonly nowMs: () => number;
  readonly recorder: RunRecorder;
  readonly traffic: () => Traffic;
  readonly faultHistory: () => FaultHistory;
}

/** Time within which requests sent before the first refusal of a cold upstream have ended. */
const COLD_START_GRACE_MS = 1_000;

/** The router may double the cold limit once per `coldStepMs`, and a cold start lasts for one `coldStepMs`. */
const MAX_COLD_LIMIT_FACTOR = 2;

const CALL_MARKER = /\[\[call (\d+)\]\]/;

export function createWorkChecks(options: WorkCheckOptions): WorkChecks {
  const { nowMs, recorder } = options;
  const drainedSinceMs = new Map<string, number>();
  const withdrawnSinceMs = new Map<string, number>();
  const callByRequest = new Map<string, Call>();
  const runsByRequest = new Map<string, number>();
  const runsByKey = new Map<string, number>();
  const startedCalls = new Set<Call>();

  const mustHaveTakenEffect = (
    sinceMs: number | undefined,
    atMs: number,
    instance: NodeInstance,
  ): boolean =>
    sinceMs !== undefined &&
    atMs - Math.max(sinceMs, options.faultHistory().lastFaultMs(instance)) > MAX_EFFECT_DELAY_MS;

  const checkNotDrained = (
    entry: UpstreamEntry,
    instance: NodeInstance,
    description: string,
  ): void => {
    for (const name of [`dc/${entry.dataCentre}`, `upstream/${entry.id}`]) {
      if (mustHaveTakenEffect(drainedSinceMs.get(name), nowMs(), instance)) {
        recorder.fail(
          'no_work_when_drained',
          `${description} from ${instance.vm.id} at ${entry.id} after the drain of ${name}`,
        );
      }
    }
  };
  /** Checks the cold limit only after the first refusal, because the router learns of a cold start from it. */
  const checkColdLimit = ({ entry, core, refusedColdAtMs }: FakeUpstream): void => {
    const { cold, running } = core.readState();
    if (!cold || refusedColdAtMs === undefined) return;
    recorder.count('cold_runs');
    const knownAtMs = Math.max(refusedColdAtMs, options.faultHistory().lastPartitionOrPauseMs());
    if (
      nowMs() - knownAtMs <= COLD_START_GRACE_MS ||
      running <= MAX_COLD_LIMIT_FACTOR * entry.coldLimit
    )
      return;
    recorder.fail('cold_limit', `${entry.id} runs ${running} requests in cold start`);
  };
  const checkTenant = (
    call: Call,
    instance: NodeInstance,
    organisation: string | undefined,
    requestId: RequestId | string,
  ): void => {
    callByRequest.set(requestId, call);
    if (organisation !== call.key.entry.organisation) {
      recorder.fail('own_organisation', `call ${call.id} ran for ${organisation}`);
    }
    if (mustHaveTakenEffect(withdrawnSinceMs.get(call.key.text), call.connectedAtMs, instance)) {
      recorder.fail('withdrawn_key', `call ${call.id} from ${instance.vm.id} ran`);
    }
  };
  const countRun = (counts: Map<string, number>, name: string, requirement: string): void => {
    const count = (counts.get(name) ?? 0) + 1;
    counts.set(name, count);
    if (count > 1) recorder.fail(requirement, `${name} ran ${count} times`);
  };
  const findCallById = (text: string | undefined): Call | undefined =>
    text === undefined ? undefined : options.traffic().find(Number(text));
  const checkPlainRequest = (call: Call, sent: UpstreamCall): void => {
    startedCalls.add(call);
    if (JSON.stringify(sent.headers).includes(call.key.text)) {
      recorder.fail('hidden_key', `call ${call.id} sent its tenant key to ${sent.address}`);
    }
    if (call.kind === 'plan') return;
    countRun(runsByRequest, String(sent.headers['x-request-id']), 'request_once');
    const key = sent.headers['idempotency-key'];
    if (key !== undefined) countRun(runsByKey, String(key), 'idempotency_key_once');
  };

  return {
    createEngineObserver: (instance) => ({
      onPrefill: (engine, sent) => {
        checkNotDrained(engine.entry, instance(), `prefill of ${sent.requestId}`);
        const call = findCallById(CALL_MARKER.exec(sent.prompt)?.[1]);
        if (call === undefined)
          recorder.fail('own_prompt', `${sent.requestId} has no call marker in its prompt`);
        else checkTenant(call, instance(), sent.organisation, sent.requestId);
      },
      onDecode: (engine, sent) => {
        const call = callByRequest.get(sent.requestId);
        if (call !== undefined) checkTenant(call, instance(), sent.organisation, sent.requestId);
        checkNotDrained(engine.entry, instance(), `decode of ${sent.requestId}`);
      },
    }),
    createUpstreamObserver: (instance) => (upstream, sent) => {
      checkColdLimit(upstream);
      checkNotDrained(
        upstream.entry,
        instance(),
        `request ${String(sent.headers['x-request-id'])}`,
      );
      const call = findCallById(String(sent.headers['x-soak-call']));
      if (call === undefined) {
        recorder.fail('own_headers', `${upstream.entry.id} received a request of an unknown call`);
        return;
      }
      const organisation = String(sent.headers['x-hibiscusbank-organisation']);
      checkTenant(call, instance(), organisation, String(sent.headers['x-request-id']));
      checkPlainRequest(call, sent);
    },
    recordDrain: (name) => {
      if (!drainedSinceMs.has(name)) drainedSinceMs.set(name, nowMs());
    },
    recordDrainEnd: (name) => {
      drainedSinceMs.delete(name);
    },
    recordWithdrawal: (key) => {
      if (!withdrawnSinceMs.has(key)) withdrawnSinceMs.set(key, nowMs());
    },
    findCall: (requestId) => callByRequest.get(requestId),
    hasRun: (call) => startedCalls.has(call),
  };
}
