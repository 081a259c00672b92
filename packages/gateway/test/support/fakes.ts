/** Fakes of the gateway's dependencies, with only the behaviour that the tests need. */
import type { IncomingMessage } from 'node:http';
import {
  cellId,
  countTokens,
  createError,
  createTelemetry,
  dataCentreId,
  grantId,
  organisationId,
  poolId,
  requestId,
  routeId,
  upstreamId,
  vmId,
} from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { DecodeCall, EnginePort, PrefillCall, TokenEvent } from '@hibiscusbank/engines';
import type { ObjectApi, StoredObject } from '@hibiscusbank/object-api';
import type { Charge, Quota } from '@hibiscusbank/quota';
import type { Grant, PlacementRequest, ReleaseReport, Scheduler } from '@hibiscusbank/scheduler';
import type { RouteEntry } from '@hibiscusbank/settings';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { AnswerWriter } from '../../src/answer-writer.js';
import type { ModelContext } from '../../src/model-attempt.js';
import type { AdmittedRequest, GatewayOptions } from '../../src/types.js';

export const ORGANISATION = organisationId('tengri');

export function createRoute(overrides: Partial<RouteEntry> = {}): RouteEntry {
  return {
    id: routeId('chat'),
    path: '/v1/chat/completions',
    methods: [],
    model: undefined,
    access: { kind: 'organisations', organisations: [ORGANISATION] },
    pool: poolId('layout-scribe'),
    idempotent: true,
    urgency: 'patient',
    firstTokenTargetMs: 990,
    tokenGapTargetMs: 37,
    patienceMs: 5_000,
    timeLimitMs: 60_000,
    maxTokensDefault: 8,
    requestCost: 1,
    ...overrides,
  };
}

export function createAdmitted(overrides: Partial<AdmittedRequest> = {}): AdmittedRequest {
  return {
    id: requestId('req_0000-1'),
    route: createRoute(),
    organisation: ORGANISATION,
    startedAtMs: performance.now(),
    signal: new AbortController().signal,
    isStillAuthorised: () => true,
    ...overrides,
  };
}

export interface ReleasedGrant {
  readonly grant: Grant;
  readonly report: ReleaseReport;
}

/** Grants the N-th placement on the engines `pN` and `dN`, or on the plain upstream `uN`. */
export function createFakeScheduler(kind: 'model' | 'plain' = 'model') {
  const placements: PlacementRequest[] = [];
  const released: ReleasedGrant[] = [];
  const createPlacedUpstream = (name: string) => ({
    upstream: upstreamId(name),
    address: `http://${name}`,
  });
  let count = 0;
  const scheduler: Scheduler = {
    place: (req) => {
      placements.push(req);
      count += 1;
      return okAsync({
        id: grantId(`g${count}`),
        cell: cellId('cell'),
        epoch: 1,
        owner: vmId('vm-1'),
        pool: req.pool,
        dataCentre: dataCentreId('almaty-a'),
        requestId: req.requestId,
        attempt: req.attempt,
        target:
          kind === 'plain'
            ? { kind, server: createPlacedUpstream(`u${count}`) }
            : {
                kind,
                prefill: createPlacedUpstream(`p${count}`),
                decode: createPlacedUpstream(`d${count}`),
                prefillMs: 10,
                transferMs: 10,
              },
      });
    },
    finishPrefill: () => {},
    release: (grant, report) => {
      released.push({ grant, report });
    },
    adopt: async () => {},
    findGrant: () => undefined,
    ownedCells: () => [],
    explain: () => [],
    start: async () => {},
    leave: async () => {},
    stop: async () => {},
  };
  return { scheduler, placements, released };
}

export function createFakeQuota() {
  const refunds: number[] = [];
  const charges: Charge[] = [];
  const quota: Quota = {
    debit: ({ organisation, requestId: id, tokens }) => {
      const charge = {
        id: `charge-${id}`,
        organisation,
        requestId: id,
        holder: vmId('vm-1'),
        tokens,
      };
      charges.push(charge);
      return okAsync(charge);
    },
    refund: (_charge, tokens) => {
      refunds.push(tokens);
    },
    balances: () => [],
    isReady: () => true,
    start: async () => {},
    leave: async () => {},
    stop: async () => {},
  };
  return { quota, charges, refunds };
}

export type DecodeScript = (
  call: DecodeCall,
) => Promise<RouterError | undefined> | RouterError | undefined;

/** Emits tokens `w<start>` to `w<end - 1>`; the last one ends the stream if `finishes` is set. */
export function emitTokens(call: DecodeCall, end: number, finishes: boolean): void {
  const tokens: TokenEvent[] = [];
  for (let index = call.startIndex; index < end; index += 1) {
    const isLast = finishes && index === end - 1;
    tokens.push({ index, text: `w${index} `, ...(isLast ? { finishReason: 'length' } : {}) });
  }
  call.onTokens(tokens);
}

export function createFakeEngines(decode: DecodeScript) {
  const prefills: PrefillCall[] = [];
  const decodes: DecodeCall[] = [];
  const cancelled: string[] = [];
  const engines: EnginePort = {
    prefill: (call) => {
      prefills.push(call);
      return okAsync({ kvId: 'kv', promptTokens: 4, cachedTokens: 0, elapsedMs: 5 });
    },
    decode: (call) => {
      decodes.push(call);
      return new ResultAsync(
        Promise.resolve(decode(call)).then((error) =>
          error === undefined ? okAsync(undefined) : errAsync(error),
        ),
      );
    },
    resume: () => errAsync(createError('not_found', 'no stream')),
    cancel: (address) => {
      cancelled.push(address);
      return okAsync(undefined);
    },
    listHolds: () => okAsync([]),
    readLoad: () => errAsync(createError('internal', 'no test calls this operation')),
    readCacheEvents: () => okAsync({ latestSeq: 0, events: [] }),
    order: () => okAsync(undefined),
  };
  return { engines, prefills, decodes, cancelled };
}

export interface FakeWriter extends AnswerWriter {
  readonly text: () => string;
  readonly failures: readonly { error: RouterError; effect: string }[];
  readonly isFinished: () => boolean;
}

export function createFakeWriter(): FakeWriter {
  const failures: { error: RouterError; effect: string }[] = [];
  let text = '';
  let finished = false;
  return {
    hasStarted: () => text !== '',
    writeTokens: (tokens) => {
      for (const token of tokens) text += token.text;
    },
    finish: () => {
      finished = true;
    },
    fail: (error, effect) => {
      failures.push({ error, effect });
    },
    text: () => text,
    failures,
    isFinished: () => finished,
  };
}

/**
 * Object API in memory. The next `lostResponses` writes are stored but report an error, as if the
 * response was lost.
 */
export function createFakeObjectApi() {
  const objects = new Map<string, StoredObject>();
  const state = { down: false, lostResponses: 0, version: 0 };
  const unavailableError = () => createError('platform_unavailable', 'the platform is down');
  const api: ObjectApi = {
    get: (key) => (state.down ? errAsync(unavailableError()) : okAsync(objects.get(key))),
    list: () => okAsync({ revision: state.version, objects: [...objects.values()] }),
    put: (key, value, options) => {
      if (state.down) return errAsync(unavailableError());
      const current = objects.get(key);
      const conflict =
        (options.ifAbsent && current !== undefined) ||
        (options.ifVersion !== undefined && options.ifVersion !== current?.version);
      if (conflict) return errAsync(createError('conflict', 'version mismatch'));
      state.version += 1;
      const stored = { key, value, version: state.version, writeId: options.writeId };
      objects.set(key, stored);
      if (state.lostResponses === 0) return okAsync(stored);
      state.lostResponses -= 1;
      return errAsync(unavailableError());
    },
    remove: (key, options) => {
      if (state.down) return errAsync(unavailableError());
      if (options.ifVersion !== objects.get(key)?.version) {
        return errAsync(createError('conflict', 'version mismatch'));
      }
      objects.delete(key);
      return okAsync(undefined);
    },
    watch: () => okAsync({ revision: state.version, changes: [] }),
  };
  return { api, objects, state };
}

export function createFakeConfiguration(
  overrides: Partial<ConfigurationReplica> = {},
): ConfigurationReplica {
  return {
    revision: () => 1,
    isReady: () => true,
    routes: () => [createRoute()],
    pools: () => new Map(),
    organisation: () => undefined,
    organisations: () => [],
    findKey: () => undefined,
    areKeysConfirmed: () => true,
    isDataCentreOutOfService: () => false,
    isVmOutOfService: () => false,
    isUpstreamOutOfService: () => false,
    ring: () => undefined,
    dataCentres: () => [],
    onChange: () => () => {},
    withdrawKey: async () => {},
    start: async () => {},
    stop: async () => {},
    ...overrides,
  };
}

export function createOptions(overrides: Partial<GatewayOptions>): GatewayOptions {
  return {
    vm: vmId('vm-1'),
    listen: { host: '127.0.0.1', port: 0 },
    limits: { maxBodyBytes: 10_000, drainTimeoutMs: 1_000, unconfirmedKeysMs: 1_000 },
    configuration: createFakeConfiguration(),
    quota: createFakeQuota().quota,
    scheduler: createFakeScheduler().scheduler,
    engines: createFakeEngines(() => undefined).engines,
    upstreams: { send: () => errAsync(createError('internal', 'no test calls this operation')) },
    objectApi: createFakeObjectApi().api,
    telemetry: createTelemetry({}, () => {}),
    countTokens,
    ...overrides,
  };
}

export function createModelContext(
  options: GatewayOptions,
  req: AdmittedRequest,
  writer: AnswerWriter,
): ModelContext {
  return {
    options,
    req,
    modelRequest: { form: 'chat', model: 'm', prompt: 'prompt ', stream: true, maxTokens: 8 },
    maxTokens: 8,
    writer,
    progress: { text: '', nextIndex: 0, finished: false },
  };
}

export function createIncoming(method: string, url: string): IncomingMessage {
  return { method, url, headers: {} } as IncomingMessage;
}
