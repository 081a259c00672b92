/** A token bucket per organisation on this node alone, for a fleet of one VM. */
import { createError, monotonicMs } from '@hibiscusbank/core';
import type { OrganisationId, VmId } from '@hibiscusbank/core';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import { errAsync, okAsync } from 'neverthrow';
import type { Quota } from './types.js';

interface Bucket {
  tokens: number;
  updatedAt: number;
}

/** Creates the quota of a fleet that consists of one VM. */
export function createLocalQuota(self: VmId, configuration: ConfigurationReplica): Quota {
  const buckets = new Map<OrganisationId, Bucket>();

  const refill = (id: OrganisationId, ratePerS: number, burst: number): Bucket => {
    const now = monotonicMs();
    const bucket = buckets.get(id) ?? { tokens: burst, updatedAt: now };
    const accrued = ((now - bucket.updatedAt) / 1_000) * ratePerS;
    bucket.tokens = Math.min(burst, bucket.tokens + accrued);
    bucket.updatedAt = now;
    buckets.set(id, bucket);
    return bucket;
  };

  return {
    debit: ({ organisation, requestId, tokens }) => {
      const limits = configuration.organisation(organisation);
      if (limits === undefined) {
        return errAsync(createError('not_found', `organisation ${organisation} is not configured`));
      }
      const bucket = refill(organisation, limits.ratePerS, limits.burst);
      if (bucket.tokens < tokens) {
        const retryAfterMs = Math.ceil(((tokens - bucket.tokens) / limits.ratePerS) * 1_000);
        return errAsync(
          createError('rate_exceeded', 'the organisation is over its rate; retry later', {
            retryAfterMs,
            effect: 'not_run',
          }),
        );
      }
      bucket.tokens -= tokens;
      return okAsync({ organisation, requestId, holder: self, tokens, id: requestId });
    },
    refund: (charge, tokens) => {
      const limits = configuration.organisation(charge.organisation);
      if (limits === undefined) return;
      const bucket = refill(charge.organisation, limits.ratePerS, limits.burst);
      bucket.tokens = Math.min(limits.burst, bucket.tokens + tokens);
    },
    balances: () =>
      [...buckets].map(([organisation, { tokens }]) => ({ organisation, tokens, waiting: 0 })),
    start: async () => {},
    leave: async () => {},
    stop: async () => {},
  };
}
