/** `hibiscusbank key`: issues, withdraws and lists tenant keys. */
import { createError, keyDigest, organisationId, toRouterError, unwrap } from '@hibiscusbank/core';
import type { KeyDigest } from '@hibiscusbank/core';
import { configurationKeys, digestKey } from '@hibiscusbank/configuration';
import type { TenantKey } from '@hibiscusbank/configuration';
import type { AdminPort } from './admin-client.js';
import { readConfiguration } from './configuration-reader.js';
import type { Versioned } from './configuration-reader.js';
import { describeReadBack, editObject } from './edit-object.js';
import { checkName } from './known-names.js';
import { formatTable, printResult } from './output.js';
import type { Output } from './output.js';
import type { CliPorts } from './ports.js';

/** Characters of a key that are stored and listed to identify it. */
const HINT_CHARS = 8;
/** Characters of a digest that tables show; `--json` prints the full digest. */
const DISPLAYED_DIGEST_CHARS = 16;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const DIGEST_PREFIX_PATTERN = /^[0-9a-f]{8,64}$/;
/** Format of the keys that `key issue` creates. */
const KEY_PATTERN = /^hb-[A-Za-z0-9_-]{43}$/;

/** Issues a key and prints it once; only its digest and first characters are stored. */
export async function issueKey(
  organisation: string,
  ports: Pick<CliPorts, 'objectApi' | 'createWriteId' | 'createKey'>,
  output: Output,
): Promise<void> {
  const stored = await readConfiguration(ports.objectApi);
  const known = stored.organisations.map(({ value }) => value.id);
  checkName('organisation', organisation, known);
  const key = ports.createKey();
  const record: TenantKey = {
    digest: digestKey(key),
    organisation: organisationId(organisation),
    withdrawn: false,
    hint: key.slice(0, HINT_CHARS),
  };
  const edit = { key: configurationKeys.tenantKey(record.digest), value: record, baseVersion: 0 };
  const result = await editObject(ports, edit);
  for (const note of describeReadBack(result)) output.printError(note);
  printResult(output, { key, ...record }, [key]);
  output.printError('the key is not stored and is not shown again; give it to the organisation');
}

/** Finds the one key whose hint equals the text or whose digest starts with it. */
function findByPrefixOrHint(text: string, keys: readonly Versioned<TenantKey>[]): KeyDigest {
  const isDigestPrefix = DIGEST_PREFIX_PATTERN.test(text);
  const matches = keys.filter(
    ({ value }) => value.hint === text || (isDigestPrefix && value.digest.startsWith(text)),
  );
  const [match] = matches;
  if (match === undefined) {
    throw createError('not_found', 'no key matches this digest, hint or key; see "key list"');
  }
  if (matches.length > 1) {
    throw createError(
      'invalid_request',
      `${matches.length} keys match ${text}; give the digest that "key list --json" prints`,
    );
  }
  return match.value.digest;
}

/**
 * Returns the digest if the text is a full digest or key, which needs no look-up on the platform;
 * `undefined` otherwise.
 */
function resolveDigest(text: string): KeyDigest | undefined {
  if (DIGEST_PATTERN.test(text)) return keyDigest(text);
  return KEY_PATTERN.test(text) ? digestKey(text) : undefined;
}

interface Withdrawal {
  readonly digest: KeyDigest;
  readonly notes: readonly string[];
}

type KeyPorts = Pick<CliPorts, 'objectApi' | 'createWriteId'>;

/** Withdraws a key on the platform. A key that is already withdrawn is not written again. */
async function tryWithdrawOnPlatform(text: string, ports: KeyPorts): Promise<Withdrawal> {
  const { keys } = await readConfiguration(ports.objectApi);
  const resolved = resolveDigest(text);
  const found = keys.find(({ value }) => value.digest === resolved);
  const digest = found?.value.digest ?? findByPrefixOrHint(text, keys);
  const current = keys.find(({ value }) => value.digest === digest)!;
  if (current.value.withdrawn) return { digest, notes: ['the key was already withdrawn'] };
  const value = { ...current.value, withdrawn: true };
  const result = await editObject(ports, { key: current.key, value, baseVersion: current.version });
  return { digest, notes: describeReadBack(result) };
}

/** Retries once after a conflict: keys change only by withdrawal, so a re-read finds it withdrawn. */
async function withdrawOnPlatform(text: string, ports: KeyPorts): Promise<Withdrawal> {
  try {
    return await tryWithdrawOnPlatform(text, ports);
  } catch (thrown) {
    if (toRouterError(thrown).kind !== 'conflict') throw thrown;
    return tryWithdrawOnPlatform(text, ports);
  }
}

async function withdrawViaNode(
  text: string,
  ports: Pick<CliPorts, 'objectApi'>,
  admin: AdminPort,
): Promise<Withdrawal> {
  const digest =
    resolveDigest(text) ??
    findByPrefixOrHint(text, (await readConfiguration(ports.objectApi)).keys);
  unwrap(await admin.post('/keys/withdraw', { digest }));
  return { digest, notes: [`the node at ${admin.address} propagates the withdrawal`] };
}

/**
 * Withdraws a key given by its digest, a digest prefix, its hint or the key itself. With `via` the
 * withdrawal is sent to that node; for a full digest or key this works without the platform. The text
 * is never printed because it may be a key.
 */
export async function withdrawKey(
  args: { readonly key: string; readonly via: AdminPort | undefined },
  ports: KeyPorts,
  output: Output,
): Promise<void> {
  const { digest, notes } =
    args.via === undefined
      ? await withdrawOnPlatform(args.key, ports)
      : await withdrawViaNode(args.key, ports, args.via);
  const displayedDigest = digest.slice(0, DISPLAYED_DIGEST_CHARS);
  printResult(output, { digest, withdrawn: true }, [...notes, `key ${displayedDigest}: withdrawn`]);
}

/** Lists all keys, including withdrawn ones. */
export async function listKeys(ports: Pick<CliPorts, 'objectApi'>, output: Output): Promise<void> {
  const keys = (await readConfiguration(ports.objectApi)).keys.map(({ value }) => value);
  const rows = keys.map(({ organisation, hint, digest, withdrawn }) => [
    organisation,
    hint,
    digest.slice(0, DISPLAYED_DIGEST_CHARS),
    withdrawn ? 'withdrawn' : 'valid',
  ]);
  printResult(output, keys, formatTable(['ORGANISATION', 'HINT', 'DIGEST', 'STATE'], rows));
}
