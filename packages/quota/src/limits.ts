/** Times that the strictness of the quota rests on. docs/design/quota.md derives them. */

/** A node drops a grant whose reply took longer; the holder keeps its room for as long. */
export const GRANT_VALIDITY_MS = 400;
/** A borrower uses borrowed tokens within this time from sending its request. */
export const LOAN_USE_MS = 1_000;
/** A lender keeps the room of a loan for this time unless the borrower settles it earlier. */
export const LOAN_HOLD_MS = 2_000;
/** Grants and loans of an earlier process on the same VM have ended by then. */
export const START_PAUSE_MS = LOAN_HOLD_MS;
/** Without contact to the platform and to any peer a VM stops spending. */
export const ISOLATION_STOP_MS = 30_000;
/** A removed VM has stopped spending by then, even when it never learns of its removal. */
export const REMOVAL_FENCE_MS = 60_000;
