/** Fields of the pools table and their defaults. */
import type { DataCentreId, PoolId } from '@hibiscusbank/core';
import {
  ALLOWED_NAME,
  createChoiceField,
  createIntegerField,
  createListField,
  NAME_PATTERN,
  createNameField,
  allowMissing,
  createDecimalField,
  createServiceField,
  createTextField,
  addDefault,
  createYesNoField,
} from './fields.js';
import type { PoolEntry, UpstreamEntry, UpstreamRole } from './types.js';
import { formatFields } from './write-ini.js';
import type { SectionText } from './write-ini.js';

/** Pattern of the names by which engines identify models and versions. */
const MODEL_NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}$/;
const ALLOWED_MODEL_NAME = 'letters, digits and . _ : / @ + -, at most 128';

export const createModelNameField = () =>
  createTextField<string>(MODEL_NAME_PATTERN, ALLOWED_MODEL_NAME);

const MAX_CAPACITY = 100_000;
const HOUR_MS = 3_600_000;

const POOL_KINDS = ['model', 'plain'] as const;
const ROLES: readonly UpstreamRole[] = ['prefill', 'decode', 'both', 'plain'];

/** Keys of `[pool NAME]`. */
export const poolFields = {
  kind: createChoiceField(POOL_KINDS),
  model: allowMissing(createModelNameField()),
  version: allowMissing(createModelNameField()),
  adapters: addDefault(
    createListField(
      (item) => (NAME_PATTERN.test(item) ? item : undefined),
      `names of ${ALLOWED_NAME}`,
    ),
    [],
  ),
  block_tokens: addDefault(createIntegerField(1), 1_000),
  kv_bytes_per_token: addDefault(createIntegerField(1), 100_000),
  prefill_tokens_per_ms: addDefault(createDecimalField(), 10),
  decode_ms_per_token: addDefault(createDecimalField(), 25),
  balance_roles: addDefault(createYesNoField(), false),
};

/** Keys that only pools of kind `model` have. */
export const modelPoolKeys = Object.keys(poolFields).filter((key) => key !== 'kind');

/** Keys of `[upstream NAME]`. */
export const upstreamFields = {
  pool: createNameField<PoolId>(),
  role: addDefault(createChoiceField(ROLES), 'plain'),
  data_centre: createNameField<DataCentreId>(),
  address: createServiceField(),
  capacity: addDefault(createIntegerField(1, MAX_CAPACITY), 20),
  memory_blocks: addDefault(createIntegerField(0), 0),
  cold_limit: addDefault(createIntegerField(1, MAX_CAPACITY), 2),
  cold_step_ms: addDefault(createIntegerField(1, HOUR_MS), 1_000),
  link_bytes_per_ms: addDefault(createDecimalField(), 1_000_000),
  checks_orders: addDefault(createYesNoField(), false),
};

/** Returns a pool as a section; pools of kind `plain` have only the key `kind`. */
export function formatPool(pool: PoolEntry): SectionText {
  const section = formatFields(`pool ${pool.id}`, poolFields, {
    kind: pool.kind,
    model: pool.model,
    version: pool.version,
    adapters: pool.adapters,
    block_tokens: pool.blockTokens,
    kv_bytes_per_token: pool.kvBytesPerToken,
    prefill_tokens_per_ms: pool.prefillTokensPerMs,
    decode_ms_per_token: pool.decodeMsPerToken,
    balance_roles: pool.balanceRoles,
  });
  if (pool.kind === 'model') return section;
  const { kind = 'plain' } = section.values;
  return { title: section.title, values: { kind } };
}

/** Returns an upstream as a section with all values. */
export function formatUpstream(upstream: UpstreamEntry): SectionText {
  return formatFields(`upstream ${upstream.id}`, upstreamFields, {
    pool: upstream.pool,
    role: upstream.role,
    data_centre: upstream.dataCentre,
    address: upstream.address,
    capacity: upstream.capacity,
    memory_blocks: upstream.memoryBlocks,
    cold_limit: upstream.coldLimit,
    cold_step_ms: upstream.coldStepMs,
    link_bytes_per_ms: upstream.linkBytesPerMs,
    checks_orders: upstream.checksOrders,
  });
}
