/** Parses request bodies of the OpenAI API. */
import { createError } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as v from 'valibot';

const contentPart = v.looseObject({ type: v.string(), text: v.optional(v.string()) });

const commonFields = {
  model: v.pipe(v.string(), v.nonEmpty()),
  stream: v.optional(v.boolean(), false),
  max_tokens: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
  max_completion_tokens: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
};

const chatSchema = v.looseObject({
  ...commonFields,
  messages: v.pipe(
    v.array(
      v.looseObject({
        role: v.string(),
        content: v.nullish(v.union([v.string(), v.array(contentPart)])),
      }),
    ),
    v.minLength(1),
  ),
});

const completionSchema = v.looseObject({ ...commonFields, prompt: v.string() });

export type ApiForm = 'chat' | 'completion';

export interface ModelRequest {
  readonly form: ApiForm;
  readonly model: string;
  readonly prompt: string;
  readonly stream: boolean;
  /** Maximum number of answer tokens that the caller requested. */
  readonly maxTokens: number | undefined;
}

type ChatContent = v.InferOutput<typeof chatSchema>['messages'][number]['content'];

function contentText(content: ChatContent): string {
  if (content === null || content === undefined) return '';
  if (typeof content === 'string') return content;
  return content.map((part) => part.text ?? '').join('');
}

function invalidRequest(message: string): RouterError {
  return createError('invalid_request', message, { effect: 'not_run' });
}

function parseJson(body: Buffer): Result<unknown, RouterError> {
  try {
    return ok(JSON.parse(body.toString('utf8')));
  } catch {
    return err(
      invalidRequest('the body is not valid JSON; send an object with model and messages'),
    );
  }
}

function describeIssues(issues: readonly v.BaseIssue<unknown>[]): string {
  return issues
    .map((issue) => {
      const path = issue.path?.map((item) => String(item.key)).join('.') ?? 'body';
      return `${path}: ${issue.message}`;
    })
    .join('; ');
}

/** Parses a request body. Errors: `invalid_request`, whose message names every invalid field. */
export function parseModelRequest(form: ApiForm, body: Buffer): Result<ModelRequest, RouterError> {
  return parseJson(body).andThen((json) => {
    if (form === 'chat') {
      const parsed = v.safeParse(chatSchema, json);
      if (!parsed.success) return err(invalidRequest(describeIssues(parsed.issues)));
      const { output } = parsed;
      const prompt = output.messages
        .map((message) => `${message.role}: ${contentText(message.content)}\n`)
        .join('');
      return ok({
        form,
        model: output.model,
        prompt,
        stream: output.stream,
        maxTokens: output.max_completion_tokens ?? output.max_tokens,
      });
    }
    const parsed = v.safeParse(completionSchema, json);
    if (!parsed.success) return err(invalidRequest(describeIssues(parsed.issues)));
    const { output } = parsed;
    return ok({
      form,
      model: output.model,
      prompt: output.prompt,
      stream: output.stream,
      maxTokens: output.max_completion_tokens ?? output.max_tokens,
    });
  });
}
