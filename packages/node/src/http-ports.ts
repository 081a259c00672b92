/** The HTTP adapters of all ports, from a node's settings. */
import { createHttpClient, createHttpEngine, createHttpUpstream } from '@hibiscusbank/engines';
import {
  createHttpObjectApi,
  createHttpVmList,
  createHttpWeightStore,
} from '@hibiscusbank/object-api';
import type { NodeSettings } from '@hibiscusbank/settings';
import type { NodePorts } from './types.js';

/** Creates the ports that the daemon uses. */
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
