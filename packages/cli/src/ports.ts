/** External dependencies of the commands, which tests replace with fakes. */
import { randomBytes, randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { createError, toError, unwrap } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { createHttpObjectApi, createHttpVmList } from '@hibiscusbank/object-api';
import type { ObjectApi, VmList } from '@hibiscusbank/object-api';
import { parseOperatorSettings, splitAddress } from '@hibiscusbank/settings';
import type { OperatorSettings } from '@hibiscusbank/settings';
import { ResultAsync } from 'neverthrow';
import { createHttpAdmin } from './admin-client.js';
import type { AdminPort } from './admin-client.js';

/** Reads a text file. Errors: `invalid_request`. */
export type FileReader = (path: string) => ResultAsync<string, RouterError>;

export interface CliPorts {
  readonly objectApi: ObjectApi;
  /** `undefined` when no address of the VM list is configured. */
  readonly vmList: VmList | undefined;
  readonly admins: readonly AdminPort[];
  readonly readFile: FileReader;
  /** Creates the id of a write, by which a read-back recognises it. */
  readonly createWriteId: () => string;
  /** Creates a tenant key that cannot be guessed. */
  readonly createKey: () => string;
}

/** Options that locate the platform and the nodes. */
export interface PlatformArgs {
  readonly config?: string | undefined;
  readonly objectApi?: string | undefined;
  readonly vmList?: string | undefined;
  /** Admin addresses separated by commas. */
  readonly admin?: string | undefined;
}

export type Environment = Readonly<Record<string, string | undefined>>;

const KEY_BYTES = 32;

export const readTextFile: FileReader = (path) =>
  ResultAsync.fromPromise(readFile(path, 'utf8'), (thrown) =>
    createError('invalid_request', `cannot read ${path}; check the path and its permissions`, {
      cause: toError(thrown),
    }),
  );

function normaliseUrl(option: string, text: string): string {
  const bare = text.replace(/^http:\/\//, '').replace(/\/+$/, '');
  if (splitAddress(bare) === undefined) {
    throw createError('invalid_request', `${option}: expected IP:port, such as 10.0.0.1:8500`);
  }
  return `http://${bare}`;
}

function splitAdmins(text: string): string[] {
  const addresses = text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');
  return addresses.map((item) => normaliseUrl('--admin', item).slice('http://'.length));
}

async function readSettings(path: string): Promise<OperatorSettings> {
  const text = unwrap(await readTextFile(path));
  return unwrap(parseOperatorSettings(text, path));
}

/**
 * Creates an object API whose calls all fail with `invalid_request`, so that commands that make no
 * such call, such as `key withdraw --via`, work without an address.
 */
function createMissingObjectApi(): ObjectApi {
  const fail = () =>
    ResultAsync.fromPromise<never, RouterError>(
      Promise.reject(
        createError(
          'invalid_request',
          'no object API is known; give --config FILE, --object-api IP:port or HIBISCUSBANK_OBJECT_API',
        ),
      ),
      (thrown) => thrown as RouterError,
    );
  return { get: fail, list: fail, put: fail, remove: fail, watch: fail };
}

/** Creates the ports. Options override the settings file, which overrides the environment. */
export async function createPorts(args: PlatformArgs, environment: Environment): Promise<CliPorts> {
  const settings = args.config === undefined ? undefined : await readSettings(args.config);
  const objectApi = args.objectApi ?? settings?.objectApi ?? environment.HIBISCUSBANK_OBJECT_API;
  const vmList = args.vmList ?? settings?.vmList ?? environment.HIBISCUSBANK_VM_LIST;
  const admins =
    args.admin === undefined
      ? (settings?.admins ?? splitAdmins(environment.HIBISCUSBANK_ADMINS ?? ''))
      : splitAdmins(args.admin);
  return {
    objectApi:
      objectApi === undefined
        ? createMissingObjectApi()
        : createHttpObjectApi(normaliseUrl('--object-api', objectApi)),
    vmList: vmList === undefined ? undefined : createHttpVmList(normaliseUrl('--vm-list', vmList)),
    admins: admins.map(createHttpAdmin),
    readFile: readTextFile,
    createWriteId: () => `cli-${randomUUID()}`,
    createKey: () => `hb-${randomBytes(KEY_BYTES).toString('base64url')}`,
  };
}
