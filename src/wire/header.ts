/** Identifies the run that a nested request belongs to. Services copy it unchanged to the calls that they make. */
export const CONTEXT = 'comfreydyke-context';
/** Time left until the caller stops waiting, in ms. */
export const BUDGET_MS = 'comfreydyke-budget-ms';
/** Identifies the caller's request: all its attempts carry the same key. */
export const KEY = 'idempotency-key';
/** 1 for the first attempt with this key, higher for each resend. */
export const ATTEMPT = 'idempotency-attempt';
/** Outcome of the request: `complete`, `not-run` or `unknown`. */
export const OUTCOME = 'comfreydyke-outcome';
/** Reason for any outcome but `complete`. */
export const REASON = 'comfreydyke-reason';
/** Delay before a retry, in ms. `Retry-After` has the same delay rounded up to seconds. */
export const RETRY_AFTER_MS = 'comfreydyke-retry-after-ms';

/** Path prefix of a daemon's own endpoints. No service may have this name. */
export const OWN_PATH_PREFIX = '/_comfreydyke/';
/** Path of the WebSocket endpoint for peers. */
export const PEER_PATH = '/_comfreydyke/peer';
/** Path at which a target announces itself. */
export const TARGET_PATH = '/_comfreydyke/target';
