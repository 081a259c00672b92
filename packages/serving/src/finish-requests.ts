/** Waits for the requests of a draining node, and ends those that run until its last moment. */
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { ServingGateway } from './serving-gateway.js';

const POLL_MS = 25;
/** Time in which requests that are ended with the drain write their last response. */
const LAST_RESPONSES_MS = 100;

/** `deadline` is the monotonic time in milliseconds at which the remaining requests are ended. */
export async function finishRequests(
  gateway: Pick<ServingGateway, 'activeRequests' | 'endRequests'>,
  deadline: number,
): Promise<void> {
  const waitUntil = async (time: number): Promise<void> => {
    while (gateway.activeRequests() > 0 && monotonicMs() < time) await sleep(POLL_MS);
  };
  await waitUntil(deadline);
  gateway.endRequests();
  await waitUntil(deadline + LAST_RESPONSES_MS);
}
