/** Digests of tenant keys; the keys themselves are never stored. */
import { createHash } from 'node:crypto';
import { keyDigest } from '@hibiscusbank/core';
import type { KeyDigest } from '@hibiscusbank/core';

/** Returns the digest under which a tenant key is stored: its SHA-256 in hex. */
export function digestKey(key: string): KeyDigest {
  return keyDigest(createHash('sha256').update(key).digest('hex'));
}
