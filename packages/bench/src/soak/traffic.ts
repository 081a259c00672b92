/** Sends requests of callers, follows their answers and resumes streams that were cut. */
import { computeTag, tokenText } from '@hibiscusbank/standins';
import { createExchange } from './caller.js';
import type { CallerExchange, CallerRequest, ResponseEnd } from './caller.js';
import type { Instance } from './fleet.js';
import type { Journal } from './journal.js';
import { runOutside } from './process.js';
import { MODEL } from './site.js';
import type { SoakKey } from './site.js';

export type CallKind = 'chat' | 'plan' | 'booking' | 'keyed_booking';

export interface CallPlan {
  readonly kind: CallKind;
  readonly key: SoakKey;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Number of the idempotency key of a keyed booking. */
  readonly repeat: number;
}

export interface Call extends CallPlan {
  readonly id: number;
  readonly prompt: string;
  readonly sentAtMs: number;
  /** Time of the latest connection. */
  connectedAtMs: number;
  /** Time at which the last connection of the call ended. */
  endedAtMs: number | undefined;
  state: 'open' | 'answered' | 'refused' | 'cut' | 'cancelled';
  text: string;
  status: number;
  outcome: string | undefined;
  connection: { readonly instance: Instance; readonly exchange: CallerExchange } | undefined;
  resumes: number;
  /** Set when a continuation was refused or cannot be placed. */
  givenUp: boolean;
}

export interface Traffic {
  send(instance: Instance, plan: CallPlan): Call;
  cancel(call: Call): void;
  /** Breaks all connections of a process that died. */
  cut(instance: Instance): void;
  calls(): readonly Call[];
  open(): readonly Call[];
  find(id: number): Call | undefined;
}

const MAX_RESUMES = 3;
const RESUME_AFTER_MS = 500;
const BYTES_PER_TOKEN = 4;

export interface TrafficOptions {
  readonly nowMs: () => number;
  readonly journal: Journal;
  /** Picks a process for the continuation of a call. */
  readonly pickInstance: (call: Call) => Instance | undefined;
}

function createPrompt(id: number, tokens: number): string {
  return `[[call ${id}]]${' rule'.repeat(Math.ceil((tokens * BYTES_PER_TOKEN) / 5))}`;
}

/** Events of a stream that arrived whole. */
function wholeEvents(text: string): string {
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
    const key = `${organisation}-${call.repeat}`;
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

/** Text of the tokens in the events of a stream. */
export function readTokens(text: string): string {
  return [...text.matchAll(/^data: (\{.*"choices".*\})$/gm)]
    .map(([, data]) => {
      const event = JSON.parse(data ?? '{}') as { choices: { delta: { content: string } }[] };
      return event.choices[0]?.delta.content ?? '';
    })
    .join('');
}

/** The answer that an engine gives to the prompt of a call. */
export function expectAnswer(call: Call): string {
  const tag = computeTag(call.prompt);
  return Array.from({ length: call.maxTokens }, (_, index) => tokenText(tag, index)).join('');
}

function isAnswered(call: Call): boolean {
  if (call.kind !== 'chat') return call.outcome === 'answered' && call.status < 400;
  return call.text.endsWith('data: [DONE]\n\n');
}

/** Creates traffic without requests. */
export function createTraffic(options: TrafficOptions): Traffic {
  const { nowMs, journal } = options;
  const calls: Call[] = [];

  const connect = (call: Call, instance: Instance): void => {
    const before = call.text;
    const onEnd = (end: ResponseEnd): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      if (call.connection?.exchange === exchange) finish(call, before, end);
    };
    const exchange = createExchange(createRequest(call), onEnd);
    call.connection = { instance, exchange };
    call.connectedAtMs = nowMs();
    instance.owner.run(() => {
      instance.node.serve(exchange.exchange).catch((thrown: unknown) => {
        journal.fail('serve_rejects_never', `call ${call.id}: ${String(thrown)}`);
      });
    });
  };

  const resumeLater = (call: Call): void => {
    call.resumes += 1;
    runOutside(() =>
      setTimeout(() => {
        const instance = options.pickInstance(call);
        if (instance === undefined || call.state !== 'cut') {
          call.givenUp = true;
          return;
        }
        journal.count('resumed');
        call.state = 'open';
        connect(call, instance);
      }, RESUME_AFTER_MS),
    );
  };

  const finish = (call: Call, before: string, end: ResponseEnd): void => {
    const outcome = end.headers['x-hibiscusbank-outcome'];
    const isStream = end.status === 200 && call.kind === 'chat';
    call.connection = undefined;
    call.endedAtMs = nowMs();
    call.status = end.status;
    call.outcome = outcome === undefined ? undefined : String(outcome);
    if (isStream || call.kind !== 'chat')
      call.text = before + (isStream ? wholeEvents(end.text) : end.text);
    if (call.state === 'cancelled') return;
    if (!end.whole) call.state = 'cut';
    else call.state = isAnswered(call) ? 'answered' : 'refused';
    journal.count(call.state === 'refused' ? `refused_${end.status}` : call.state);
    const mayResume = call.state === 'cut' && call.kind === 'chat' && call.text !== '';
    if (mayResume && call.resumes < MAX_RESUMES) resumeLater(call);
    else call.givenUp = true;
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
        givenUp: false,
      };
      calls.push(call);
      journal.count(`sent_${plan.kind}`);
      connect(call, instance);
      return call;
    },
    cancel: (call) => {
      const { connection } = call;
      if (connection === undefined) return;
      call.state = 'cancelled';
      call.endedAtMs = nowMs();
      journal.count('cancelled');
      connection.instance.owner.run(() => connection.exchange.close());
    },
    cut: (instance) => {
      const lost = open().filter((call) => call.connection?.instance === instance);
      for (const call of lost) call.connection?.exchange.close();
    },
    calls: () => calls,
    open,
    find: (id) => calls[id],
  };
}
