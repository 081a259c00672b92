/** `hibiscusbank org`: rates and bursts of organisations. */
import { createError, organisationId } from '@hibiscusbank/core';
import { configurationKeys } from '@hibiscusbank/configuration';
import type { Organisation } from '@hibiscusbank/configuration';
import { NAME_PATTERN } from '@hibiscusbank/settings';
import { readConfiguration } from './configuration-reader.js';
import type { StoredConfiguration } from './configuration-reader.js';
import { describeReadBack, editObject } from './edit-object.js';
import { checkName } from './known-names.js';
import { formatTable, printResult } from './output.js';
import type { Output } from './output.js';
import type { CliPorts } from './ports.js';

type OrganisationPorts = Pick<CliPorts, 'objectApi' | 'createWriteId'>;

export interface SetOrganisationArgs {
  readonly name: string;
  /** Tokens per second, summed over all VMs. */
  readonly rate: number;
  /** Tokens that may be spent at once. */
  readonly burst: number;
}

function parseOrganisation({ name, rate, burst }: SetOrganisationArgs): Organisation {
  if (!NAME_PATTERN.test(name)) {
    throw createError('invalid_request', `${name}: use letters, digits, ".", "_" and "-"`);
  }
  if (!Number.isFinite(rate) || rate <= 0) {
    throw createError('invalid_request', `--rate ${rate}: give tokens per second above 0`);
  }
  if (!Number.isSafeInteger(burst) || burst < 1) {
    throw createError('invalid_request', `--burst ${burst}: give a whole number of tokens above 0`);
  }
  return { id: organisationId(name), ratePerS: rate, burst };
}

const formatLimits = ({ ratePerS, burst }: Organisation): string =>
  `${ratePerS} tokens/s, burst ${burst}`;

/** Creates an organisation or updates its rate and burst. */
export async function setOrganisation(
  args: SetOrganisationArgs,
  ports: OrganisationPorts,
  output: Output,
): Promise<void> {
  const organisation = parseOrganisation(args);
  const key = configurationKeys.organisation(organisation.id);
  const stored = await readConfiguration(ports.objectApi);
  const current = stored.organisations.find((object) => object.key === key);
  const baseVersion = current?.version ?? 0;
  const result = await editObject(ports, { key, value: organisation, baseVersion });
  const previous = current === undefined ? 'created' : `was ${formatLimits(current.value)}`;
  printResult(
    output,
    { ...organisation, created: current === undefined, revision: result.version },
    [
      ...describeReadBack(result),
      `${organisation.id}: ${formatLimits(organisation)} (${previous})`,
    ],
  );
}

function countValidKeys(stored: StoredConfiguration, organisation: string): number {
  return stored.keys.filter(({ value }) => value.organisation === organisation && !value.withdrawn)
    .length;
}

/** Lists all organisations with their number of valid keys. */
export async function listOrganisations(
  ports: Pick<CliPorts, 'objectApi'>,
  output: Output,
): Promise<void> {
  const stored = await readConfiguration(ports.objectApi);
  const organisations = stored.organisations.map(({ value }) => ({
    ...value,
    keys: countValidKeys(stored, value.id),
  }));
  const rows = organisations.map(({ id, ratePerS, burst, keys }) =>
    [id, ratePerS, burst, keys].map(String),
  );
  printResult(
    output,
    organisations,
    formatTable(['ORGANISATION', 'RATE/S', 'BURST', 'KEYS'], rows),
  );
}

/** Describes the keys and routes that must be removed before the organisation. */
function listDependents(stored: StoredConfiguration, organisation: string): string[] {
  const keys = countValidKeys(stored, organisation);
  const routes = stored.routes.value.filter(
    ({ access }) =>
      access.kind === 'organisations' && access.organisations.some((id) => id === organisation),
  );
  return [
    ...(keys === 0 ? [] : [`${keys} valid key(s): withdraw them first`]),
    ...routes.map(({ id }) => `route ${id}: take it off this route first`),
  ];
}

/** Removes an organisation; rejects with `invalid_request` if a valid key or a route uses it. */
export async function removeOrganisation(
  name: string,
  ports: OrganisationPorts,
  output: Output,
): Promise<void> {
  const stored = await readConfiguration(ports.objectApi);
  const known = stored.organisations.map(({ value }) => value.id);
  checkName('organisation', name, known);
  const dependents = listDependents(stored, name);
  if (dependents.length > 0) {
    throw createError('invalid_request', `${name} is in use: ${dependents.join('; ')}`);
  }
  const key = configurationKeys.organisation(organisationId(name));
  const baseVersion = stored.organisations.find((object) => object.key === key)?.version ?? 0;
  const result = await editObject(ports, { key, value: undefined, baseVersion });
  printResult(output, { removed: name }, [...describeReadBack(result), `${name}: removed`]);
}
