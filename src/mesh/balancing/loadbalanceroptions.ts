/** Settings of the cost by which hosts are compared. */
export type LoadBalancerOptions = {
	/** Minimum cost added to a call that leaves its failure domain, in ms. */
	readonly crossDomainCostMs: number;
	/** The same cost as a share of the call's objective: an answer that is earlier than the objective gains nothing. */
	readonly crossDomainCostShare: number;
	/** Share of its limit in use above which load adds to the cost of a target. */
	readonly busyShare: number;
	/** Maximum random addition to the cost of a target whose load isn't known at present, as a share of it: all daemons know the same fast targets, and would fill them up. */
	readonly unknownLoadJitter: number;
};

/** The settings that the daemons use. */
export const LOAD_BALANCING: LoadBalancerOptions = {
	// Follows from the price of traffic between failure domains.
	crossDomainCostMs: 60,
	// An instance that is slow but meets the objective keeps the calls of its own failure domain.
	crossDomainCostShare: 0.25,
	busyShare: 0.6,
	unknownLoadJitter: 0.3,
};
