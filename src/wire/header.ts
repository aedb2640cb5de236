/** Names the running work that a request belongs to; services pass it on unchanged. */
export const CONTEXT = 'comfreydyke-context';
/** The time that the caller still waits, in ms. */
export const BUDGET_MS = 'comfreydyke-budget-ms';
/** Names the caller's request across its resends. */
export const KEY = 'idempotency-key';
/** 1 for the first attempt at a key, higher for each resend. */
export const ATTEMPT = 'idempotency-attempt';
/** How the request ended: `complete`, `not-run` or `unknown`. */
export const OUTCOME = 'comfreydyke-outcome';
/** Why it didn't end in a whole answer. */
export const REASON = 'comfreydyke-reason';
/** When to come back, in ms; `Retry-After` says it in whole seconds. */
export const RETRY_AFTER_MS = 'comfreydyke-retry-after-ms';

/** Where a daemon's own endpoints begin; no service may be named so. */
export const OWN_PATH_PREFIX = '/_comfreydyke/';
/** Where peers connect. */
export const PEER_PATH = '/_comfreydyke/peer';
/** Where a target announces itself. */
export const TARGET_PATH = '/_comfreydyke/target';
