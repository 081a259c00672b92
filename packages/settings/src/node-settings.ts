/** Settings of a node process, from INI. */
import { createError, dataCentreId, vmId } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { readSections } from './read-ini.js';
import type { ListenAddress, NodeSettings } from './types.js';

const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_DRAIN_TIMEOUT_MS = 120_000;
const DEFAULT_UNCONFIRMED_KEYS_MS = 3_600_000;

function readAddress(text: string | undefined): ListenAddress {
  const [host = '127.0.0.1', port = '0'] = (text ?? '127.0.0.1:0').split(':');
  return { host, port: Number(port) };
}

/** Reads the settings of a node. Errors: `invalid_settings`. */
export function parseNodeSettings(text: string): Result<NodeSettings, RouterError> {
  const { node, platform, limits = {} } = readSections(text);
  if (node?.vm === undefined || node.data_centre === undefined || platform === undefined) {
    return err(createError('invalid_settings', 'sections [node] and [platform] are required'));
  }
  return ok({
    vm: vmId(node.vm),
    dataCentre: dataCentreId(node.data_centre),
    region: node.region ?? 'default',
    listen: readAddress(node.listen),
    peerListen: readAddress(node.peer_listen),
    adminListen: readAddress(node.admin_listen),
    peerSecret: node.peer_secret ?? '',
    objectApi: platform.object_api ?? '',
    vmList: platform.vm_list ?? '',
    weightStore: platform.weight_store,
    limits: {
      maxBodyBytes: Number(limits.max_body_bytes ?? DEFAULT_MAX_BODY_BYTES),
      drainTimeoutMs: Number(limits.drain_timeout_ms ?? DEFAULT_DRAIN_TIMEOUT_MS),
      unconfirmedKeysMs: Number(limits.unconfirmed_keys_ms ?? DEFAULT_UNCONFIRMED_KEYS_MS),
    },
  });
}
