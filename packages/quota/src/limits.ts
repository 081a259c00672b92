/** Time limits that guarantee the bound of the quota. docs/design/quota.md derives them. */

/** A node drops a grant whose reply took longer. The holder holds the capacity for this time. */
export const GRANT_VALIDITY_MS = 400;
/** A borrower uses borrowed tokens only within this time from sending its request. */
export const LOAN_VALIDITY_MS = 1_000;
/** A lender holds the capacity of a loan for this time unless the borrower settles it earlier. */
export const LOAN_HOLD_MS = 2_000;
/** After this time, grants and loans of an earlier process on the same VM have expired. */
export const START_PAUSE_MS = LOAN_HOLD_MS;
/** A VM without contact to the platform and to any peer for this time stops spending. */
export const ISOLATION_TIMEOUT_MS = 30_000;
/** After this time a removed VM has stopped spending, even when it never learns of its removal. */
export const REMOVAL_FENCE_MS = 60_000;
