/** What a target says of itself in an answer. */
export type TargetSignals = {
	/** The rate limit that it names: requests per second from all hosts together; undefined if it names none. */
	readonly rateLimitPerS: number | undefined;
	/** Whether it is about to leave. */
	readonly isLeaving: boolean;
};

/** The signals of a target that names no limit and doesn't leave. */
export const NO_SIGNALS: TargetSignals = {rateLimitPerS: undefined, isLeaving: false};
