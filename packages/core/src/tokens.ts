/** Token counts. */

/** Bytes of text that one token stands for at the least; the count is an upper bound. */
const BYTES_PER_TOKEN = 4;

/** Counts the tokens of a text. A site replaces it by the tokenizer of its models. */
export type TokenCounter = (text: string) => number;

/** Counts one token for every four bytes of UTF-8, rounded up. */
export const countTokens: TokenCounter = (text) =>
  Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN);
