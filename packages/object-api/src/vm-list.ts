/** HTTP adapters of the platform's VM list and weight store. */
import { callJson } from './http.js';
import type { ListedVm, VmList, WeightStore } from './types.js';

/** Creates the adapter of the VM list at a base URL. */
export function createHttpVmList(baseUrl: string): VmList {
  return {
    read: () =>
      callJson({ method: 'GET', url: `${baseUrl}/vms` }).map(
        (res) => (res.body as { vms: ListedVm[] }).vms,
      ),
  };
}

/** Creates the adapter of the weight store at a base URL. */
export function createHttpWeightStore(baseUrl: string): WeightStore {
  return {
    reserve: (model, version) =>
      callJson({ method: 'POST', url: `${baseUrl}/reservations`, body: { model, version } }).map(
        (res) => (res.body as { startInMs: number }).startInMs,
      ),
  };
}
