import fc from 'fast-check';

/** Faults that a plan can inject into hosts, links or the platform. */
export const FAULT_KINDS = ['kill', 'restart', 'pause', 'cut', 'stop', 'outage', 'slow-platform', 'stale-platform'] as const;
export type FaultKind = typeof FAULT_KINDS[number];

/** One fault of a plan, with its start and duration. */
export type PlannedFault = {
	readonly kind: FaultKind;
	readonly atMs: number;
	readonly forMs: number;
	/** Index of the host, taken modulo the number of hosts. */
	readonly host: number;
	/** Index of the host at the other end of a `cut` link, taken modulo the number of hosts. */
	readonly other: number;
};

/** Input of one test case. The same plan and the same code always give the same result. */
export type CasePlan = {
	readonly seed: number;
	readonly faults: readonly PlannedFault[];
	/** Probability of each network fault per frame, in thousandths. */
	readonly drop: number;
	readonly duplicate: number;
	readonly reorder: number;
	readonly reset: number;
	/** Number of requests that the callers make. */
	readonly requests: number;
	/** A number from 0 to 99 from which each point derives its own case variants. */
	readonly variant: number;
};

/** Bounds of the plans that are generated for a point. */
export type PlanLimits = {
	readonly kinds: readonly FaultKind[];
	readonly maxFaults: number;
	readonly networkFaults: boolean;
	readonly requests: readonly [number, number];
	/** Faults start within this time, in ms from the start of the case. */
	readonly untilMs: number;
};

/** Generates plans for a point. A failing plan shrinks towards fewer faults and fewer requests. */
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
