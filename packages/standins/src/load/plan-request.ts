/** Plans the requests of a load run at random, from its organisations and routes. */
import type { Random } from '@hibiscusbank/core';
import { computeTag } from '../engine/answer-text.js';
import { createSeededRandom } from '../seeded-random.js';
import type {
  LoadOptions,
  LoadOrganisation,
  LoadRoute,
  ModelRoute,
  PlainRoute,
  Range,
} from './types.js';

const CHARS_PER_TOKEN = 4;
const FILLER_CHARS = 65_536;
const WORD_LENGTH = 6;
const LETTERS = 'abcdefghijklmnopqrstuvwxyz';

/** The answer that a correct router returns. */
export type Expectation =
  | { readonly kind: 'model'; readonly tag: string; readonly maxTokens: number }
  | { readonly kind: 'plain'; readonly path: string; readonly bytes: number };

export interface PlannedRequest {
  readonly organisation: LoadOrganisation;
  readonly route: LoadRoute;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
  readonly expectation: Expectation;
  /** Number of tokens after which the load tool disconnects, or `undefined`. */
  readonly cancelAfter: number | undefined;
}

export interface RequestPlanner {
  next(): PlannedRequest;
}

function createFiller(seed: number): string {
  const random = createSeededRandom(seed, 'filler');
  let text = '';
  while (text.length < FILLER_CHARS) {
    for (let i = 0; i < WORD_LENGTH; i += 1) text += LETTERS[random.nextInt(LETTERS.length)];
    text += ' ';
  }
  return text;
}

/** Returns `length` characters of the endlessly repeated filler, from an offset. */
function sliceFiller(filler: string, offset: number, length: number): string {
  const start = offset % FILLER_CHARS;
  if (start + length <= filler.length) return filler.slice(start, start + length);
  return filler.repeat(Math.ceil((start + length) / filler.length)).slice(start, start + length);
}

/** Draws an integer from a range, uniformly on a logarithmic scale. */
export function drawFromRange(random: Random, [min, max]: Range): number {
  if (max <= min) return min;
  return Math.round(min * (max / min) ** random.next());
}

function pickWeighted<T extends { readonly weight: number }>(
  random: Random,
  items: readonly T[],
): T {
  const total = items.reduce((sum, item) => sum + item.weight, 0);
  let remaining = random.next() * total;
  const found = items.find((item) => {
    remaining -= item.weight;
    return remaining < 0;
  });
  return found ?? (items.at(-1) as T);
}

/** Creates the planner of a load run. Equal options give the same sequence of requests. */
export function createRequestPlanner(options: LoadOptions): RequestPlanner {
  const random = createSeededRandom(options.seed, 'requests');
  const filler = createFiller(options.seed);
  let sequence = 0;

  /** Builds a prompt with marks around all of its text, so that the answer depends on all of it. */
  const buildPrompt = (route: ModelRoute): string => {
    const length = drawFromRange(random, route.promptTokens) * CHARS_PER_TOKEN;
    const variant = random.nextInt(Math.max(1, route.sharedPrompts));
    const sharedLength = Math.min(route.sharedTokens * CHARS_PER_TOKEN, length);
    const shared = sliceFiller(filler, variant * 101, sharedLength);
    const unique = ` #${options.seed}.${sequence} `;
    const fillerLength = Math.max(0, length - sharedLength - unique.length);
    return `[[${shared}${unique}${sliceFiller(filler, sequence * 7, fillerLength)}]]`;
  };
  const planModel = (organisation: LoadOrganisation, route: ModelRoute): PlannedRequest => {
    const prompt = buildPrompt(route);
    const maxTokens = drawFromRange(random, route.answerTokens);
    const cancels = random.next() < route.cancelShare;
    const input =
      route.form === 'chat' ? { messages: [{ role: 'user', content: prompt }] } : { prompt };
    return {
      organisation,
      route,
      method: 'POST',
      path: route.path,
      headers: {
        authorization: `Bearer ${organisation.key}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        model: route.model,
        stream: route.stream,
        max_tokens: maxTokens,
        ...input,
      }),
      expectation: { kind: 'model', tag: computeTag(prompt), maxTokens },
      cancelAfter: cancels && route.stream ? 1 + random.nextInt(maxTokens) : undefined,
    };
  };
  const planPlain = (organisation: LoadOrganisation, route: PlainRoute): PlannedRequest => {
    const path = `${route.path}?load=${options.seed}.${sequence}`;
    const body =
      route.method === 'POST' ? sliceFiller(filler, sequence, route.bodyBytes) : undefined;
    return {
      organisation,
      route,
      method: route.method,
      path,
      headers: {
        authorization: `Bearer ${organisation.key}`,
        ...(route.idempotencyKeys ? { 'idempotency-key': `${options.seed}.${sequence}` } : {}),
      },
      body,
      expectation: { kind: 'plain', path, bytes: body?.length ?? 0 },
      cancelAfter: undefined,
    };
  };

  return {
    next: () => {
      sequence += 1;
      const organisation = pickWeighted(random, options.organisations);
      const route = pickWeighted(random, options.routes);
      return route.kind === 'model'
        ? planModel(organisation, route)
        : planPlain(organisation, route);
    },
  };
}
