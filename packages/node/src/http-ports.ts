/** HTTP adapters of the ports of a node. */
import { createHttpClient, createHttpEngine, createHttpUpstream } from '@hibiscusbank/engines';
import {
  createHttpObjectApi,
  createHttpVmList,
  createHttpWeightStore,
} from '@hibiscusbank/object-api';
import type { NodeSettings } from '@hibiscusbank/settings';
import type { NodePorts } from './types.js';

/** Creates the HTTP adapters for the addresses in a node's settings. */
export function createHttpPorts(settings: NodeSettings): NodePorts {
  const client = createHttpClient();
  return {
    objectApi: createHttpObjectApi(settings.objectApi),
    vmList: createHttpVmList(settings.vmList),
    weightStore:
      settings.weightStore === undefined ? undefined : createHttpWeightStore(settings.weightStore),
    engines: createHttpEngine(client),
    upstreams: createHttpUpstream(client),
  };
}
