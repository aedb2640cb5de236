import fc from 'fast-check';

/** What may befall a host or the platform. */
export const FAULT_KINDS = ['kill', 'restart', 'pause', 'cut', 'stop', 'outage', 'slow-platform', 'stale-platform'] as const;
export type FaultKind = typeof FAULT_KINDS[number];

/** One fault of a plan. */
export type PlannedFault = {
	readonly kind: FaultKind;
	readonly atMs: number;
	readonly forMs: number;
	/** Which host, as an index that wraps round. */
	readonly host: number;
	/** The other host of a cut. */
	readonly other: number;
};

/** All that one case does; together with the code it determines the result. */
export type CasePlan = {
	readonly seed: number;
	readonly faults: readonly PlannedFault[];
	/** Probabilities of the network's faults, for each frame, in thousandths. */
	readonly drop: number;
	readonly duplicate: number;
	readonly reorder: number;
	readonly reset: number;
	/** Requests in the case. */
	readonly requests: number;
	/** A free choice that a point uses as it likes, from 0 to 99. */
	readonly variant: number;
};

/** What a point's plans may hold. */
export type PlanLimits = {
	readonly kinds: readonly FaultKind[];
	readonly maxFaults: number;
	readonly networkFaults: boolean;
	readonly requests: readonly [number, number];
	/** The time in which faults strike, in ms. */
	readonly untilMs: number;
};

/** Plans for a point; shrinks towards few faults and few requests. */
export function createPlanArbitrary({kinds, maxFaults, networkFaults, requests, untilMs}: PlanLimits): fc.Arbitrary<CasePlan> {
	const fault = kinds.length === 0
		? fc.constant<PlannedFault | undefined>(undefined)
		: fc.record<PlannedFault>({
			kind: fc.constantFrom(...kinds),
			atMs: fc.integer({min: 0, max: untilMs}),
			forMs: fc.integer({min: 100, max: 5000}),
			host: fc.nat(20),
			other: fc.nat(20),
		});
	const share = networkFaults ? fc.oneof({weight: 2, arbitrary: fc.constant(0)}, {weight: 1, arbitrary: fc.integer({min: 1, max: 30})}) : fc.constant(0);
	return fc.record<CasePlan>({
		seed: fc.noShrink(fc.integer({min: 1, max: 0x7F_FF_FF_FF})),
		faults: fc.array(fault, {maxLength: kinds.length === 0 ? 0 : maxFaults}) as fc.Arbitrary<PlannedFault[]>,
		drop: share,
		duplicate: share,
		reorder: share,
		reset: share,
		requests: fc.integer({min: requests[0], max: requests[1]}),
		variant: fc.nat(99),
	});
}
