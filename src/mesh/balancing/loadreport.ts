/** The load of a target, as its owner reports it with each answer. */
export type LoadReport = {
	readonly running: number;
	readonly queued: number;
	/** The owner's concurrency limit. */
	readonly limit: number;
	/** Time that this route's calls take at the target, in ms: a mean, or that of this moment if the owner can tell; 0 if unknown. */
	readonly serviceMs: number;
	/** Share of the target's last runs that it shed or failed; 0 if it is absent. */
	readonly failureShare?: number;
};
