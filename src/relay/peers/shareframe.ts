import {
	type Allowance, type AllowanceNews, type Usage, type UsageReport,
} from '../../mesh/index.js';
import {FrameError} from '../../wire/index.js';
import {type Frame, FrameTag} from './frame.js';

/** Fractions are sent as whole numbers of this part, and rates and counts as tenths, because integers are shorter. */
const FRACTION_UNIT = 10_000;
const TENTHS = 10;

/** Encodes a report, each usage as a list of budget, what was wanted and what was spent. */
export function buildUsageFrame({host, view, usages}: UsageReport): Frame {
	return [FrameTag.usage, host, view, usages.map(({budget, wanted, used}) => [budget, wanted, used])];
}

/** @throws {FrameError} when a field is missing or has the wrong type */
export function readUsage([, host, view, packed]: Frame): UsageReport {
	if (typeof host !== 'string' || typeof view !== 'number' || !Array.isArray(packed)) {
		throw new FrameError('usage: expected a host, a view and a list');
	}

	const usages = (packed as unknown[]).map((item): Usage => {
		const [budget, wanted, used] = Array.isArray(item) ? item as unknown[] : [];
		if (typeof budget !== 'string' || !Number.isFinite(wanted) || !Number.isFinite(used)) {
			throw new FrameError('usage: expected a budget and two numbers');
		}

		return {budget, wanted: wanted as number, used: used as number};
	});
	return {host, view, usages};
}

/** Encodes what an accountant tells, each allowance as a list of budget, fraction, rate that is spent and what may be spent. */
export function buildAllowanceFrame({host, isReady, isReply, allowances}: AllowanceNews): Frame {
	return [FrameTag.allowances, host, isReady, isReply, allowances.map(({
		budget, fraction, usedPerS, spendable,
	}) => [budget, Math.round(fraction * FRACTION_UNIT), Math.round(usedPerS * TENTHS), Math.round(spendable * TENTHS)])];
}

/** @throws {FrameError} when a field is missing or has the wrong type */
export function readAllowances([, host, isReady, isReply, packed]: Frame): AllowanceNews {
	if (typeof host !== 'string' || typeof isReady !== 'boolean' || typeof isReply !== 'boolean' || !Array.isArray(packed)) {
		throw new FrameError('allowances: expected a host, two booleans and a list');
	}

	const allowances = (packed as unknown[]).map((item): Allowance => {
		const [budget, fraction, usedPerS, spendable] = Array.isArray(item) ? item as unknown[] : [];
		if (typeof budget !== 'string' || !isCount(fraction) || !isCount(usedPerS) || !isCount(spendable)) {
			throw new FrameError('allowances: expected a budget and three numbers of at least 0');
		}

		return {
			budget, fraction: fraction / FRACTION_UNIT, usedPerS: usedPerS / TENTHS, spendable: spendable / TENTHS,
		};
	});
	return {
		host, isReady, isReply, allowances,
	};
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
