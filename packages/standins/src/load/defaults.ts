/** Defaults of the load options. */
import type { LoadOptions, ModelRoute, PlainRoute } from './types.js';

export const LOAD_DEFAULTS: Omit<LoadOptions, 'targets' | 'organisations' | 'routes'> = {
  ratePerS: 10,
  seconds: 10,
  seed: 1,
  drainSeconds: 30,
  maxConcurrent: 5_000,
  resumes: true,
};

export const MODEL_ROUTE_DEFAULTS: ModelRoute = {
  kind: 'model',
  name: 'chat',
  weight: 1,
  path: '/v1/chat/completions',
  form: 'chat',
  model: 'default',
  stream: true,
  promptTokens: [50, 5_000],
  sharedTokens: 0,
  sharedPrompts: 1,
  answerTokens: [20, 200],
  firstTokenTargetMs: 990,
  tokenGapTargetMs: 37,
  cancelShare: 0,
};

export const PLAIN_ROUTE_DEFAULTS: PlainRoute = {
  kind: 'plain',
  name: 'plain',
  weight: 1,
  path: '/plain',
  method: 'GET',
  bodyBytes: 0,
  idempotencyKeys: false,
  firstTokenTargetMs: 990,
};
