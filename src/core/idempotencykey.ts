import {type Reason} from './answer.js';
import {type SiteSpec} from './spec.js';

const UUID_V7 = /^([\da-f]{8})-([\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iv;

/** The longest idempotency key taken, in characters. */
export const MAX_KEY_LENGTH = 128;

/** When a UUIDv7 key was made, in ms since 1970; undefined for any other key. */
export function parseKeyTimeMs(key: string): number | undefined {
	const match = UUID_V7.exec(key);
	return match === null ? undefined : Number.parseInt(match[1] + match[2], 16);
}

/** Why a key can't be taken, if it can't. */
export function findKeyFault(key: string, {clockSkewMs, resendWindowMs}: SiteSpec, nowMs: number): Reason | undefined {
	const madeMs = parseKeyTimeMs(key);
	if (key.length > MAX_KEY_LENGTH || (madeMs !== undefined && madeMs > nowMs + clockSkewMs)) {
		return 'key-from-future';
	}

	return madeMs !== undefined && madeMs + resendWindowMs + clockSkewMs < nowMs ? 'key-expired' : undefined;
}

/**
 * Which attempt at its key a request is. One that doesn't say counts as a resend
 * if the key may predate the last change of the service's upstreams, since an
 * earlier attempt may then have gone to another home.
 */
export function attemptNumberOf(
	{key, attempt}: {readonly key?: string; readonly attempt?: number},
	{clockSkewMs, resendWindowMs}: SiteSpec,
	{nowMs, changedMs}: {readonly nowMs: number; readonly changedMs: number},
): number {
	if (key === undefined) {
		return 1;
	}

	if (attempt !== undefined) {
		return attempt;
	}

	const madeMs = parseKeyTimeMs(key);
	const isStale = madeMs === undefined
		? nowMs - changedMs < resendWindowMs
		: madeMs < changedMs + clockSkewMs;
	return isStale ? 2 : 1;
}
