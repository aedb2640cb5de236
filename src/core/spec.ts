/** A class of requests. Load shedding refuses classes of lower rank first. */
export type ClassSpec = {
	readonly name: string;
	readonly rank: number;
};

/** The site-wide part of the configuration. All times are in ms. */
export type SiteSpec = {
	readonly classes: readonly ClassSpec[];
	/** Most retries that one request of a caller may cause in its whole call tree. */
	readonly retryPot: number;
	/** The retry budget of a service: retries as a share of the calls to it. */
	readonly retryRatio: number;
	/** How long after the first use of an idempotency key a caller may resend it. */
	readonly resendWindowMs: number;
	/** The tolerated clock difference between the creator of a key and a daemon. */
	readonly clockSkewMs: number;
	/** How long a caller's priority within its class stays the same. */
	readonly epochMs: number;
};

/** One kind of request that a service accepts. */
export type OperationSpec = {
	readonly name: string;
	readonly method: string;
	/** A path prefix; the longest match wins. */
	readonly path: string;
	readonly class: string;
	readonly idempotent: boolean;
	/** The time limit of requests whose callers set none, in ms. */
	readonly budgetMs: number;
	/** The services that this operation calls directly. */
	readonly calls: readonly string[];
};

/** One service's part of the configuration. */
export type ServiceSpec = {
	readonly operations: readonly OperationSpec[];
	/** The queue wait at a target that overload control tries not to exceed, in ms. */
	readonly queueTargetMs: number;
	/** The longest time that a request may wait in a target's queue, in ms. */
	readonly queueLimitMs: number;
};

/** A configuration object, as the platform stores it. */
export type ConfigObject = {
	/** `site` or `service/<name>`. */
	readonly name: string;
	/** Increases by one with each accepted change; orders the versions of an object. */
	readonly generation: number;
	/** Identifies the write that created this version, so that a writer that lost the answer can find out the result. */
	readonly operationId: string;
	/** Absent if the object has been deleted. */
	readonly spec?: SiteSpec | ServiceSpec;
};
