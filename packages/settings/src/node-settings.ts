/** Parses the INI settings of nodes and of operator tools. */
import type { DataCentreId, RouterError, VmId } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { createFaultsError } from './faults.js';
import {
  formatAddress,
  createIntegerField,
  createListField,
  createListenField,
  createNameField,
  allowMissing,
  createSecretField,
  createServiceField,
  splitAddress,
  addDefault,
} from './fields.js';
import type { Fields, Values } from './fields.js';
import { findNearest } from './nearest-name.js';
import { readIni } from './read-ini.js';
import type { IniFile, IniSection } from './read-ini.js';
import {
  createFaultReport,
  readFields,
  reportKeyFault,
  reportSectionFault,
} from './read-section.js';
import type { FaultReport } from './read-section.js';
import type { NodeSettings, OperatorSettings } from './types.js';

const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_DRAIN_TIMEOUT_MS = 120_000;
/** Longest expected network partition between regions; see section 4.8 of docs/design.md. */
const DEFAULT_UNCONFIRMED_KEYS_MS = 3_600_000;
const MIN_SECRET_CHARS = 8;
const MIN_BODY_BYTES = 1_024;
const MAX_BODY_BYTES = 1024 * 1024 * 1024;
const DAY_MS = 86_400_000;

const nodeFields = {
  vm: createNameField<VmId>(),
  data_centre: createNameField<DataCentreId>(),
  region: addDefault(createNameField<string>(), 'default'),
  listen: createListenField(),
  peer_listen: createListenField(),
  admin_listen: createListenField(),
  peer_secret: createSecretField(MIN_SECRET_CHARS),
};

const platformFields = {
  object_api: createServiceField(),
  vm_list: createServiceField(),
  weight_store: allowMissing(createServiceField()),
};

const operatorPlatformFields = { ...platformFields, vm_list: allowMissing(createServiceField()) };

const limitFields = {
  max_body_bytes: addDefault(
    createIntegerField(MIN_BODY_BYTES, MAX_BODY_BYTES),
    DEFAULT_MAX_BODY_BYTES,
  ),
  drain_timeout_ms: addDefault(createIntegerField(0, DAY_MS), DEFAULT_DRAIN_TIMEOUT_MS),
  unconfirmed_keys_ms: addDefault(createIntegerField(0, DAY_MS), DEFAULT_UNCONFIRMED_KEYS_MS),
};

const parseAdminAddress = (item: string): string | undefined => {
  const address = splitAddress(item);
  return address === undefined ? undefined : formatAddress(address);
};

const operatorFields = {
  admins: addDefault(createListField(parseAdminAddress, 'admin addresses of nodes as IP:port'), []),
};

const SECTION_TITLES = ['node', 'platform', 'limits', 'operator'];

/** Returns the section with a title, or an empty section when it is missing, so defaults apply. */
const findSection = (ini: IniFile, title: string): IniSection =>
  ini.sections.find((section) => section.title === title) ?? {
    title,
    line: 1,
    values: new Map(),
  };

function reportUnknownSections(report: FaultReport, ini: IniFile): void {
  for (const section of ini.sections) {
    if (SECTION_TITLES.includes(section.title)) continue;
    const nearest = findNearest(section.title, SECTION_TITLES) ?? '';
    reportSectionFault(
      report,
      section,
      `unknown section; the nearest known section is [${nearest}]`,
    );
  }
}

/** Reports listeners with the same address, since each listener of a process needs its own. */
function reportSharedAddresses(report: FaultReport, section: IniSection): void {
  const firstKeyByAddress = new Map<string, string>();
  for (const key of ['listen', 'peer_listen', 'admin_listen']) {
    const address = section.values.get(key)?.text;
    if (address === undefined) continue;
    const firstKey = firstKeyByAddress.get(address);
    if (firstKey === undefined) firstKeyByAddress.set(address, key);
    else reportKeyFault(report, section, key, `must differ from ${firstKey}; choose another port`);
  }
}

function readNodeSection(report: FaultReport, ini: IniFile): Values<typeof nodeFields> | undefined {
  const section = findSection(ini, 'node');
  reportSharedAddresses(report, section);
  return readFields(report, section, nodeFields);
}

const readSection = <F extends Fields>(
  report: FaultReport,
  ini: IniFile,
  title: string,
  fields: F,
): Values<F> | undefined => readFields(report, findSection(ini, title), fields);

/** Reads the settings of a node. Errors: `invalid_settings`, which lists all faults. */
export function parseNodeSettings(
  text: string,
  file = 'settings',
): Result<NodeSettings, RouterError> {
  const ini = readIni(text, file);
  const report = createFaultReport(ini);
  reportUnknownSections(report, ini);
  const node = readNodeSection(report, ini);
  const platform = readSection(report, ini, 'platform', platformFields);
  const limits = readSection(report, ini, 'limits', limitFields);
  readSection(report, ini, 'operator', operatorFields);
  if (report.faults.length > 0) return err(createFaultsError(report.faults));
  return ok({
    vm: node!.vm,
    dataCentre: node!.data_centre,
    region: node!.region,
    listen: node!.listen,
    peerListen: node!.peer_listen,
    adminListen: node!.admin_listen,
    peerSecret: node!.peer_secret,
    objectApi: platform!.object_api,
    vmList: platform!.vm_list,
    weightStore: platform!.weight_store,
    limits: {
      maxBodyBytes: limits!.max_body_bytes,
      drainTimeoutMs: limits!.drain_timeout_ms,
      unconfirmedKeysMs: limits!.unconfirmed_keys_ms,
    },
  });
}

/**
 * Reads the addresses of the platform and the nodes for an operator's tool. The settings file of a
 * node is accepted as well; the admin address of that node is then the first of `admins`. Errors:
 * `invalid_settings`, which lists all faults.
 */
export function parseOperatorSettings(
  text: string,
  file = 'settings',
): Result<OperatorSettings, RouterError> {
  const ini = readIni(text, file);
  const report = createFaultReport(ini);
  reportUnknownSections(report, ini);
  const hasNode = ini.sections.some(({ title }) => title === 'node');
  const node = hasNode ? readNodeSection(report, ini) : undefined;
  const platform = readSection(report, ini, 'platform', operatorPlatformFields);
  const operator = readSection(report, ini, 'operator', operatorFields);
  readSection(report, ini, 'limits', limitFields);
  if (report.faults.length > 0) return err(createFaultsError(report.faults));
  const nodeAdminAddresses = node === undefined ? [] : [formatAddress(node.admin_listen)];
  return ok({
    objectApi: platform!.object_api,
    vmList: platform!.vm_list,
    admins: [...new Set([...nodeAdminAddresses, ...operator!.admins])],
  });
}
