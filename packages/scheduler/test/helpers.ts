/** Helpers shared by the tests of cells and placement. */
import type { Grant } from '@hibiscusbank/scheduler';
import { advance, pool, request, settle, unwrap, upstream } from './support.js';
import type { Fleet } from './support.js';

export const plainPool = (count: number, extra = {}) =>
  pool(Array.from({ length: count }, (_, i) => upstream(`s${i}`, 'plain', 'a', extra)));

export const serverOf = (grant: Grant): string =>
  grant.target.kind === 'plain' ? grant.target.server.upstream : grant.target.decode.upstream;

export async function placeMany(
  fleet: Fleet,
  count: number,
  vm = 'a1',
  extra = {},
): Promise<Grant[]> {
  const req = { promptTokens: 0, ...extra };
  const results = Array.from({ length: count }, () => fleet.place(vm, request(req)));
  return (await settle(Promise.all(results))).map(unwrap);
}

/** Completes requests until the upstreams are warm. */
export async function warmUp(fleet: Fleet, rounds = 12, extra = {}): Promise<void> {
  for (let i = 0; i < rounds; i += 1) {
    for (const grant of await placeMany(fleet, 2, 'a1', extra)) {
      fleet.node('a1').scheduler.release(grant, { outcome: 'completed', latencyMs: 10 });
    }
    await advance(300);
  }
}
