import {NO_SIGNALS, type TargetSignals} from '../../mesh/index.js';
import {type HeaderNames} from '../adapter.js';
import {DecodeError} from '../error.js';

const DECIMAL = /^\d+(?:\.\d+)?$/v;

/** Reads what a target says of itself in the headers of an answer. @throws {DecodeError} when the rate limit isn't a decimal number */
export function readTargetSignals(headers: Readonly<Record<string, string | string[] | undefined>>, names: HeaderNames): TargetSignals {
	const limit = headers[names.rateLimit];
	const isLeaving = headers[names.leaving] === '1';
	if (limit === undefined) {
		return isLeaving ? {rateLimitPerS: undefined, isLeaving} : NO_SIGNALS;
	}

	if (typeof limit !== 'string' || !DECIMAL.test(limit.trim())) {
		throw new DecodeError(`${names.rateLimit}: expected a decimal number of requests per second, got "${String(limit)}"`);
	}

	return {rateLimitPerS: Number(limit), isLeaving};
}
