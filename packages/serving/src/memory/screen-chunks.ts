/** Recognises bodies in very small chunks by the first bytes of a connection. */

const HEAD_END = Buffer.from('\r\n\r\n');
const LINE_END = Buffer.from('\r\n');
const CHUNKED_PATTERN = /\r\ntransfer-encoding:[^\r\n]*\bchunked\b/i;
/** Longest line that states the size of a chunk, with extensions. */
const MAX_SIZE_LINE_BYTES = 64;
/** Bytes after which a body has shown its chunks. */
const MAX_SCREENED_BYTES = 65_536;

/** `unknown`: too little of the body has arrived. */
export type ChunkSizes = 'small' | 'other' | 'unknown';

export interface ChunkLimits {
  /** Chunks, and their mean size in bytes, from which a body counts as one in very small chunks. */
  readonly chunks: number;
  readonly meanBytes: number;
}

/** Classifies the body of the request with which the bytes begin. */
export function classifyChunks(first: Buffer, { chunks, meanBytes }: ChunkLimits): ChunkSizes {
  const undecided = first.length < MAX_SCREENED_BYTES ? 'unknown' : 'other';
  const headEnd = first.indexOf(HEAD_END);
  if (headEnd < 0) return undecided;
  if (!CHUNKED_PATTERN.test(first.toString('latin1', 0, headEnd))) return 'other';
  const start = headEnd + HEAD_END.length;
  let at = start;
  let count = 0;
  let bytes = 0;
  while (count < chunks) {
    const lineEnd = first.indexOf(LINE_END, at);
    if (lineEnd < 0) break;
    if (lineEnd - at > MAX_SIZE_LINE_BYTES) return 'other';
    const size = Number.parseInt(first.toString('latin1', at, lineEnd), 16);
    // The last chunk, or no chunk at all, which is for the parser to say.
    if (!(size > 0)) return 'other';
    count += 1;
    bytes += size;
    at = lineEnd + size + 2 * LINE_END.length;
  }
  if (bytes >= count * meanBytes && count > 0) return 'other';
  return count >= chunks ? 'small' : undecided;
}
