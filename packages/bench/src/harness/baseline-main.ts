/**
 * Baseline of the handoff bench: a relay that calls the engines as a node does, without reserving
 * capacity. Arguments: port, policy, offset, prefill URLs and decode URLs (both comma-separated).
 */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { requestId } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { createHttpClient, createHttpEngine } from '@hibiscusbank/engines';
import type { EngineLoad, TokenEvent } from '@hibiscusbank/engines';
import { createBaselinePolicy } from './baseline-policies.js';
import type { Baseline } from './baseline-policies.js';

/** Same number of attempts as the router makes. */
const MAX_ATTEMPTS = 4;
const LOAD_POLL_MS = 100;
const PRIORITY = 10;

interface ChatBody {
  readonly model: string;
  readonly max_tokens: number;
  readonly messages: readonly { readonly role: string; readonly content: string }[];
}

interface Call {
  readonly res: ServerResponse;
  readonly id: string;
  readonly body: ChatBody;
  readonly signal: AbortSignal;
}

const [port, policyName, offset = '0', prefill = '', decode = ''] = process.argv.slice(2);
const engines = createHttpEngine(createHttpClient());
const loads = new Map<string, EngineLoad>();
const addresses = { prefill: prefill.split(','), decode: decode.split(',') };
const policy = createBaselinePolicy(policyName as Baseline, {
  ...addresses,
  offset: Number(offset),
  readLoad: (address) => loads.get(address),
});

async function pollLoad(address: string): Promise<void> {
  const load = await engines.readLoad(address);
  if (load.isOk()) loads.set(address, load.value);
}

async function readBody(req: IncomingMessage): Promise<ChatBody> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString('utf8')) as ChatBody;
}

function writeTokens({ res, id }: Call, tokens: readonly TokenEvent[]): void {
  if (!res.headersSent) res.writeHead(200, { 'content-type': 'text/event-stream' });
  const events = tokens.map(({ index, text, finishReason }) => {
    const choice = { index: 0, delta: { content: text }, finish_reason: finishReason ?? null };
    return `id: ${id}.engine.${index}\ndata: ${JSON.stringify({ choices: [choice] })}\n\n`;
  });
  res.write(events.join(''));
}

async function runAttempt(call: Call, attempt: number): Promise<RouterError | undefined> {
  const source = policy.pickPrefill();
  const target = policy.pickDecode();
  const ref = { requestId: requestId(call.id), attempt };
  const common = {
    ...ref,
    organisation: undefined,
    model: call.body.model,
    priority: PRIORITY,
    signal: call.signal,
  };
  const prompt = call.body.messages.map((m) => `${m.role}: ${m.content}\n`).join('');
  const prefilled = await engines.prefill({ ...common, address: source, prompt });
  if (prefilled.isErr()) return prefilled.error;
  const decoded = await engines.decode({
    ...common,
    address: target,
    kv: { address: source, kvId: prefilled.value.kvId },
    startIndex: 0,
    maxTokens: call.body.max_tokens,
    onTokens: (tokens) => writeTokens(call, tokens),
  });
  if (decoded.isOk()) return undefined;
  void engines.cancel(source, ref);
  void engines.cancel(target, ref);
  return decoded.error;
}

async function serve(call: Call): Promise<void> {
  let error: RouterError | undefined;
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    error = await runAttempt(call, attempt);
    if (error === undefined || call.res.headersSent || call.signal.aborted) break;
  }
  if (error === undefined) {
    call.res.end('data: [DONE]\n\n');
    return;
  }
  if (!call.res.headersSent) call.res.writeHead(503, { 'x-hibiscusbank-outcome': 'not_run' });
  call.res.end(JSON.stringify({ error: { message: error.message, outcome: 'not_run' } }));
}

if (policyName === 'least_loaded') {
  const all = [...addresses.prefill, ...addresses.decode];
  setInterval(() => {
    for (const address of all) void pollLoad(address);
  }, LOAD_POLL_MS);
}

let sequence = 0;
createServer((req, res) => {
  // Start-up probe of the bench, see `waitUntilListening`.
  if (req.method === 'GET') {
    res.end();
    return;
  }
  const abort = new AbortController();
  res.on('close', () => abort.abort());
  sequence += 1;
  const id = `baseline-${port}-${sequence}`;
  void readBody(req)
    .then((body) => serve({ res, id, body, signal: abort.signal }))
    .catch(() => res.destroy());
}).listen(Number(port), '127.0.0.1');
