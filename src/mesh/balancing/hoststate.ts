import {type GroupLoad} from './groupload.js';
import {type LoadReport} from './loadreport.js';

/** What a daemon knows of a host and its target. */
export type HostState = {
	/** The target that the host had when it was compared last; empty before. */
	targetId: string;
	/** When that target joined, as far as this daemon has seen; without end in the past for those it began with. */
	joinedMs: number;
	report: LoadReport;
	reportedAtMs: number;
	/** The targets of its service in its failure domain. */
	group: GroupLoad | undefined;
	/** Calls that this daemon has in flight there. */
	inFlight: number;
	/** Calls that this daemon had in flight there when the report arrived. */
	inFlightAtReport: number;
	serviceMs: Map<string, number>;
	/** Moving mean of how its times compare with those of all targets, over all routes; below 1 for a fast one. */
	relativeTime: number;
	/** Moving mean of the share of calls that failed there. */
	failureShare: number;
	failureShareAtMs: number;
	unreachableUntilMs: number;
	unreachableCount: number;
	drainingUntilMs: number;
	/** By what factor the host's daemon finds its target slower than usual, and when that was heard. */
	slowness: number;
	slownessHeardMs: number;
};

/** The state of a host that nothing is known of. */
export function createHostState(): HostState {
	return {
		targetId: '',
		joinedMs: Number.NEGATIVE_INFINITY,
		report: {
			running: 0, queued: 0, limit: 0, serviceMs: 0,
		},
		reportedAtMs: Number.NEGATIVE_INFINITY,
		group: undefined,
		inFlight: 0,
		inFlightAtReport: 0,
		serviceMs: new Map(),
		relativeTime: 1,
		failureShare: 0,
		failureShareAtMs: 0,
		unreachableUntilMs: 0,
		unreachableCount: 0,
		drainingUntilMs: 0,
		slowness: 1,
		slownessHeardMs: Number.NEGATIVE_INFINITY,
	};
}
