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
import { formatTable, present } from './output.js';
import type { Output } from './output.js';
import type { CliPorts } from './ports.js';

/** Characters of a key that lists show. */
const HINT_CHARS = 8;
/** Characters of a digest that tables show; `--json` prints it whole. */
const SHOWN_DIGEST_CHARS = 16;
const DIGEST = /^[0-9a-f]{64}$/;
const DIGEST_START = /^[0-9a-f]{8,64}$/;
/** Form of the keys that `key issue` creates. */
const KEY = /^hb-[A-Za-z0-9_-]{43}$/;

/** Issues a key. It is printed once; only its digest and first characters are stored. */
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
  const edit = { key: configurationKeys.tenantKey(record.digest), value: record, base: 0 };
  const result = await editObject(ports, edit);
  for (const note of describeReadBack(result)) output.printError(note);
  present(output, { key, ...record }, [key]);
  output.printError('the key is not stored and is not shown again; give it to the organisation');
}

/** Finds the only key with a hint, or whose digest begins with the text. */
function findByPart(text: string, keys: readonly Versioned<TenantKey>[]): KeyDigest {
  const isStart = DIGEST_START.test(text);
  const found = keys.filter(
    ({ value }) => value.hint === text || (isStart && value.digest.startsWith(text)),
  );
  const [only] = found;
  if (only === undefined) {
    throw createError('not_found', 'no stored key has this digest, hint or text; see "key list"');
  }
  if (found.length > 1) {
    throw createError(
      'invalid_request',
      `${found.length} keys match ${text}; give the digest that "key list --json" prints`,
    );
  }
  return only.value.digest;
}

/** A whole digest or key is resolved without the platform; anything else is looked up there. */
function resolveDigest(text: string): KeyDigest | undefined {
  if (DIGEST.test(text)) return keyDigest(text);
  return KEY.test(text) ? digestKey(text) : undefined;
}

interface Withdrawal {
  readonly digest: KeyDigest;
  readonly notes: readonly string[];
}

type KeyPorts = Pick<CliPorts, 'objectApi' | 'createWriteId'>;

/** Withdraws on the platform. A key that is already withdrawn is left as it is. */
async function withdrawOnce(text: string, ports: KeyPorts): Promise<Withdrawal> {
  const { keys } = await readConfiguration(ports.objectApi);
  const resolved = resolveDigest(text);
  const found = keys.find(({ value }) => value.digest === resolved);
  const digest = found?.value.digest ?? findByPart(text, keys);
  const current = keys.find(({ value }) => value.digest === digest)!;
  if (current.value.withdrawn) return { digest, notes: ['the key was withdrawn already'] };
  const value = { ...current.value, withdrawn: true };
  const result = await editObject(ports, { key: current.key, value, base: current.version });
  return { digest, notes: describeReadBack(result) };
}

/** A key changes only by its withdrawal, so after a conflict a second look finds it withdrawn. */
async function withdrawOnPlatform(text: string, ports: KeyPorts): Promise<Withdrawal> {
  try {
    return await withdrawOnce(text, ports);
  } catch (thrown) {
    if (toRouterError(thrown).kind !== 'conflict') throw thrown;
    return withdrawOnce(text, ports);
  }
}

async function withdrawOnNode(
  text: string,
  ports: Pick<CliPorts, 'objectApi'>,
  admin: AdminPort,
): Promise<Withdrawal> {
  const digest =
    resolveDigest(text) ?? findByPart(text, (await readConfiguration(ports.objectApi)).keys);
  unwrap(await admin.post('/keys/withdraw', { digest }));
  return { digest, notes: [`the node at ${admin.address} spreads the withdrawal`] };
}

/**
 * Withdraws a key given by digest, hint or the key itself; `via` sends the withdrawal to a node,
 * which needs no platform. The text is never printed, since it can be a key.
 */
export async function withdrawKey(
  args: { readonly key: string; readonly via: AdminPort | undefined },
  ports: KeyPorts,
  output: Output,
): Promise<void> {
  const { digest, notes } =
    args.via === undefined
      ? await withdrawOnPlatform(args.key, ports)
      : await withdrawOnNode(args.key, ports, args.via);
  const shown = digest.slice(0, SHOWN_DIGEST_CHARS);
  present(output, { digest, withdrawn: true }, [...notes, `key ${shown}: withdrawn`]);
}

/** Lists all keys, the withdrawn ones included. */
export async function listKeys(ports: Pick<CliPorts, 'objectApi'>, output: Output): Promise<void> {
  const keys = (await readConfiguration(ports.objectApi)).keys.map(({ value }) => value);
  const rows = keys.map(({ organisation, hint, digest, withdrawn }) => [
    organisation,
    hint,
    digest.slice(0, SHOWN_DIGEST_CHARS),
    withdrawn ? 'withdrawn' : 'valid',
  ]);
  present(output, keys, formatTable(['ORGANISATION', 'HINT', 'DIGEST', 'STATE'], rows));
}
