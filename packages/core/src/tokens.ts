/** Estimates of token counts. */

/** Assumed minimum of UTF-8 bytes per token. If it holds, the estimate is an upper bound. */
const BYTES_PER_TOKEN = 4;

/** Counts the tokens of a text. A deployment can supply the tokenizer of its models. */
export type TokenCounter = (text: string) => number;

/** Counts one token per `BYTES_PER_TOKEN` bytes of UTF-8, rounded up. */
export const countTokens: TokenCounter = (text) =>
  Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN);
