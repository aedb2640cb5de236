import {type Reason} from './answer.js';
import {type SiteSpec} from './spec.js';

const UUID_V7 = /^([\da-f]{8})-([\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iv;

/** The longest accepted idempotency key, in characters. */
export const MAX_KEY_LENGTH = 128;

/** Returns when a UUIDv7 key was created, in ms since 1970, or undefined for a key of another form. */
export function parseKeyTimeMs(key: string): number | undefined {
	const match = UUID_V7.exec(key);
	return match === null ? undefined : Number.parseInt(match[1] + match[2], 16);
}

/** Returns why a key is refused, or undefined if it is accepted. */
export function findKeyFault(key: string, {clockSkewMs, resendWindowMs}: SiteSpec, nowMs: number): Reason | undefined {
	if (key.length > MAX_KEY_LENGTH) {
		return 'key-too-long';
	}

	const createdMs = parseKeyTimeMs(key);
	if (createdMs !== undefined && createdMs > nowMs + clockSkewMs) {
		return 'key-from-future';
	}

	return createdMs !== undefined && createdMs + resendWindowMs + clockSkewMs < nowMs ? 'key-expired' : undefined;
}

/**
 * Returns the number of the attempt that a request makes at its key. A request
 * without an attempt number counts as a resend if its key may be older than the
 * last change of the service's upstreams, because an earlier attempt may have
 * gone to another home upstream.
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

	const createdMs = parseKeyTimeMs(key);
	const isStale = createdMs === undefined
		? nowMs - changedMs < resendWindowMs
		: createdMs < changedMs + clockSkewMs;
	return isStale ? 2 : 1;
}
