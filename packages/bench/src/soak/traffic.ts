/** Sends requests of callers, tracks their responses and resumes interrupted streams. */
import { computeTag, tokenText } from '@hibiscusbank/standins';
import { createExchange } from './caller.js';
import type { CallerExchange, CallerRequest, ReceivedResponse } from './caller.js';
import type { NodeInstance } from './fleet.js';
import type { RunRecorder } from './run-recorder.js';
import { runOutsideProcesses } from './process.js';
import { MODEL } from './site.js';
import type { SoakKey } from './site.js';

export type CallKind = 'chat' | 'plan' | 'booking' | 'keyed_booking';

export interface CallPlan {
  readonly kind: CallKind;
  readonly key: SoakKey;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Index of the idempotency key of a keyed booking. */
  readonly idempotencyKeyIndex: number;
}

export interface Call extends CallPlan {
  readonly id: number;
  readonly prompt: string;
  readonly sentAtMs: number;
  /** Time at which the latest connection was opened. */
  connectedAtMs: number;
  /** Time at which the latest connection ended. */
  endedAtMs: number | undefined;
  state: 'open' | 'answered' | 'refused' | 'cut' | 'cancelled';
  text: string;
  status: number;
  outcome: string | undefined;
  connection: { readonly instance: NodeInstance; readonly exchange: CallerExchange } | undefined;
  resumes: number;
  /** True when the call will not be resumed. */
  notResumed: boolean;
}

export interface Traffic {
  send(instance: NodeInstance, plan: CallPlan): Call;
  cancel(call: Call): void;
  /** Closes all connections to a process that has ended. */
  closeConnections(instance: NodeInstance): void;
  calls(): readonly Call[];
  open(): readonly Call[];
  find(id: number): Call | undefined;
}

const MAX_RESUMES = 3;
const RESUME_DELAY_MS = 500;
const BYTES_PER_TOKEN = 4;

export interface TrafficOptions {
  readonly nowMs: () => number;
  readonly recorder: RunRecorder;
  /** Picks the process on which a call is resumed. */
  readonly pickInstance: (call: Call) => NodeInstance | undefined;
}

function createPrompt(id: number, tokens: number): string {
  return `[[call ${id}]]${' rule'.repeat(Math.ceil((tokens * BYTES_PER_TOKEN) / 5))}`;
}

/** Returns the complete events of a stream, without an incomplete event at its end. */
function completeEvents(text: string): string {
  const end = text.lastIndexOf('\n\n');
  return end === -1 ? '' : text.slice(0, end + 2);
}

function findLastEventId(text: string): string | undefined {
  return [...text.matchAll(/^id: (.+)$/gm)].at(-1)?.[1];
}

function createRequest(call: Call): CallerRequest {
  const headers = {
    authorization: `Bearer ${call.key.text}`,
    'x-api-key': call.key.text,
    'x-soak-call': String(call.id),
  };
  const { organisation } = call.key.entry;
  if (call.kind === 'plan') return { method: 'GET', url: `/plans/${call.id}`, headers, body: '' };
  if (call.kind === 'booking') {
    return { method: 'POST', url: '/bookings', headers, body: `{"call":${call.id}}` };
  }
  if (call.kind === 'keyed_booking') {
    const key = `${organisation}-${call.idempotencyKeyIndex}`;
    const keyed = { ...headers, 'idempotency-key': key };
    return { method: 'POST', url: '/bookings', headers: keyed, body: `{"key":"${key}"}` };
  }
  const lastEventId = findLastEventId(call.text);
  const body = JSON.stringify({
    model: MODEL,
    stream: true,
    max_tokens: call.maxTokens,
    messages: [{ role: 'user', content: call.prompt }],
  });
  return {
    method: 'POST',
    url: '/v1/chat/completions',
    headers: lastEventId === undefined ? headers : { ...headers, 'last-event-id': lastEventId },
    body,
  };
}

/** Concatenates the token texts of the events of a stream. */
export function readTokens(text: string): string {
  return [...text.matchAll(/^data: (\{.*"choices".*\})$/gm)]
    .map(([, data]) => {
      const event = JSON.parse(data ?? '{}') as { choices: { delta: { content: string } }[] };
      return event.choices[0]?.delta.content ?? '';
    })
    .join('');
}

/** Computes the complete text that an engine generates for the prompt of a call. */
export function computeExpectedText(call: Call): string {
  const tag = computeTag(call.prompt);
  return Array.from({ length: call.maxTokens }, (_, index) => tokenText(tag, index)).join('');
}

function isAnswered(call: Call): boolean {
  if (call.kind !== 'chat') return call.outcome === 'answered' && call.status < 400;
  return call.text.endsWith('data: [DONE]\n\n');
}

export function createTraffic(options: TrafficOptions): Traffic {
  const { nowMs, recorder } = options;
  const calls: Call[] = [];

  const connect = (call: Call, instance: NodeInstance): void => {
    const previousText = call.text;
    const onEnd = (response: ReceivedResponse): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      if (call.connection?.exchange === exchange) finish(call, previousText, response);
    };
    const exchange = createExchange(createRequest(call), onEnd);
    call.connection = { instance, exchange };
    call.connectedAtMs = nowMs();
    instance.nodeProcess.run(() => {
      instance.node.serve(exchange.exchange).catch((thrown: unknown) => {
        recorder.fail('serve_rejects_never', `call ${call.id}: ${String(thrown)}`);
      });
    });
  };

  const scheduleResume = (call: Call): void => {
    call.resumes += 1;
    runOutsideProcesses(() =>
      setTimeout(() => {
        const instance = options.pickInstance(call);
        if (instance === undefined || call.state !== 'cut') {
          call.notResumed = true;
          return;
        }
        recorder.count('resumed');
        call.state = 'open';
        connect(call, instance);
      }, RESUME_DELAY_MS),
    );
  };

  const finish = (call: Call, previousText: string, response: ReceivedResponse): void => {
    const outcome = response.headers['x-hibiscusbank-outcome'];
    const isStream = response.status === 200 && call.kind === 'chat';
    call.connection = undefined;
    call.endedAtMs = nowMs();
    call.status = response.status;
    call.outcome = outcome === undefined ? undefined : String(outcome);
    if (isStream || call.kind !== 'chat')
      call.text = previousText + (isStream ? completeEvents(response.text) : response.text);
    if (call.state === 'cancelled') return;
    if (!response.isComplete) call.state = 'cut';
    else call.state = isAnswered(call) ? 'answered' : 'refused';
    recorder.count(call.state === 'refused' ? `refused_${response.status}` : call.state);
    const mayResume = call.state === 'cut' && call.kind === 'chat' && call.text !== '';
    if (mayResume && call.resumes < MAX_RESUMES) scheduleResume(call);
    else call.notResumed = true;
  };

  const open = (): Call[] => calls.filter((call) => call.connection !== undefined);

  return {
    send: (instance, plan) => {
      const id = calls.length;
      const call: Call = {
        ...plan,
        id,
        prompt: createPrompt(id, plan.promptTokens),
        sentAtMs: nowMs(),
        connectedAtMs: nowMs(),
        endedAtMs: undefined,
        state: 'open',
        text: '',
        status: 0,
        outcome: undefined,
        connection: undefined,
        resumes: 0,
        notResumed: false,
      };
      calls.push(call);
      recorder.count(`sent_${plan.kind}`);
      connect(call, instance);
      return call;
    },
    cancel: (call) => {
      const { connection } = call;
      if (connection === undefined) return;
      call.state = 'cancelled';
      call.endedAtMs = nowMs();
      recorder.count('cancelled');
      connection.instance.nodeProcess.run(() => connection.exchange.close());
    },
    closeConnections: (instance) => {
      const interrupted = open().filter((call) => call.connection?.instance === instance);
      for (const call of interrupted) call.connection?.exchange.close();
    },
    calls: () => calls,
    open,
    find: (id) => calls[id],
  };
}
