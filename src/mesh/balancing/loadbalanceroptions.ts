/** Settings of the cost by which hosts are compared. */
export type LoadBalancerOptions = {
	/** What a call that leaves its failure domain spends on the way there and back, in ms. */
	readonly crossDomainMs: number;
	/** By what share of its expected time a target in another failure domain must be sooner besides: the expectations are means of a few runs. */
	readonly crossDomainMargin: number;
	/** Share of its limit in use above which load adds to the cost of a target. */
	readonly busyShare: number;
	/** Maximum random addition to the cost of a target whose load isn't known at present, as a share of it: all daemons know the same fast targets, and would fill them up. */
	readonly unknownLoadJitter: number;
};

/** The settings that the daemons use. */
export const LOAD_BALANCING: LoadBalancerOptions = {
	crossDomainMs: 2,
	// Two standard errors of the difference between two moving means of ten runs or so, which vary by about their own length.
	crossDomainMargin: 0.65,
	busyShare: 0.6,
	unknownLoadJitter: 0.3,
};
