import {
	type Allowance, type AllowanceNews, type Usage, type UsageReport,
} from '../../mesh/index.js';
import {FrameError} from '../../wire/index.js';
import {type Frame, FrameTag} from './frame.js';

/** Fractions are sent as whole numbers of this part, and rates and counts as tenths, because integers are shorter. */
const FRACTION_UNIT = 10_000;
const TENTHS = 10;

/** Encodes a report, each usage as a list of budget, what was wanted, what was spent and, if anything, what else was asked for. */
export function buildUsageFrame({host, view, usages}: UsageReport): Frame {
	return [FrameTag.usage, host, view, usages.map(({
		budget, wanted, used, other,
	}) => (other === 0 ? [budget, wanted, used] : [budget, wanted, used, other]))];
}

/** @throws {FrameError} when a field is missing or has the wrong type */
export function readUsage([, host, view, packed]: Frame): UsageReport {
	if (typeof host !== 'string' || typeof view !== 'number' || !Array.isArray(packed)) {
		throw new FrameError('usage: expected a host, a view and a list');
	}

	const usages = (packed as unknown[]).map((item): Usage => {
		const [budget, wanted, used, other = 0] = Array.isArray(item) ? item as unknown[] : [];
		if (typeof budget !== 'string' || !Number.isFinite(wanted) || !Number.isFinite(used) || !isCount(other)) {
			throw new FrameError('usage: expected a budget and two or three numbers');
		}

		return {
			budget, wanted: wanted as number, used: used as number, other,
		};
	});
	return {host, view, usages};
}

/** Encodes what an accountant tells, each allowance as a list of budget, fraction, rate that is spent, what may be spent and rate that is asked for. */
export function buildAllowanceFrame({
	host, isReady, isReply, askedPerS: totalAskedPerS, allowances,
}: AllowanceNews): Frame {
	return [FrameTag.allowances, host, isReady, isReply, allowances.map(({
		budget, fraction, usedPerS, spendable, askedPerS,
	}) => [budget, Math.round(fraction * FRACTION_UNIT), Math.round(usedPerS * TENTHS), Math.round(spendable * TENTHS), Math.round(askedPerS * TENTHS)]), Math.round(totalAskedPerS * TENTHS)];
}

/** @throws {FrameError} when a field is missing or has the wrong type */
export function readAllowances([, host, isReady, isReply, packed, totalAsked = 0]: Frame): AllowanceNews {
	if (typeof host !== 'string' || typeof isReady !== 'boolean' || typeof isReply !== 'boolean' || !Array.isArray(packed) || !isCount(totalAsked)) {
		throw new FrameError('allowances: expected a host, two booleans, a list and a number');
	}

	const allowances = (packed as unknown[]).map((item): Allowance => {
		const [budget, fraction, used, spendable, asked = used] = Array.isArray(item) ? item as unknown[] : [];
		if (typeof budget !== 'string' || !isCount(fraction) || !isCount(used) || !isCount(spendable) || !isCount(asked)) {
			throw new FrameError('allowances: expected a budget and four numbers of at least 0');
		}

		return {
			budget, fraction: fraction / FRACTION_UNIT, usedPerS: used / TENTHS, spendable: spendable / TENTHS, askedPerS: asked / TENTHS,
		};
	});
	return {
		host, isReady, isReply, askedPerS: totalAsked / TENTHS, allowances,
	};
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
