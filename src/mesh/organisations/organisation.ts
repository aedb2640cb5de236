/** One of the organisations that share the site, as the operator's configuration describes it. */
export type Organisation = {
	readonly name: string;
	/** The API keys that its clients authenticate with. */
	readonly keys: readonly string[];
	/** Rank of all its requests, which goes before the rank of their route; that decides among equals. 0 is the highest. */
	readonly rank?: number;
	/** Quota: the requests per second that all daemons together admit; undefined for no limit. */
	readonly ratePerS?: number;
	/** Quota: the requests that it may send at once in addition. */
	readonly burst: number;
};
