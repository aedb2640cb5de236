import {type FeedOptions} from '../log/index.js';

/** A TCP address. */
export type Address = {readonly ip: string; readonly port: number};

/** What the daemon of one host needs to know from the start. */
export type RelaySettings = {
	readonly host: string;
	readonly failureDomain: string;
	/** The service of the target beside this daemon; may change while it runs. */
	readonly service: string;
	/** Where the target beside this daemon takes requests. */
	readonly target: Address;
	readonly listen: {
		/** For the clients and the target on this host. */
		readonly requests: Address;
		/** For the other daemons. */
		readonly peers: Address;
		readonly readiness: Address;
		/** For what the target says of itself. */
		readonly announcements: Address;
		/** For those who read the metrics. */
		readonly metrics?: Address;
	};
	/** Where counters are sent to by StatsD, if anywhere. */
	readonly statsd?: FeedOptions;
	/** Whether the whole system starts for the first time; otherwise the target may run already. */
	readonly isFirstStart: boolean;
	/** Peers' addresses to ask for a configuration at the start; may be stale. */
	readonly seeds: readonly Address[];
	/** How often a target announces itself, in ms. */
	readonly announceIntervalMs: number;
	/** How long after its acknowledgement a leaving target may be given work, in ms. */
	readonly drainMs: number;
	/** How long after the signal to stop the process is killed, in ms. */
	readonly graceMs: number;
	/** How long a stopping daemon goes on taking requests, in ms: until its clients have noticed. */
	readonly lameDuckMs: number;
	/** The second sends that the site allows for each request, and besides in each window. */
	readonly retry: {readonly ratio: number; readonly slack: number; readonly windowMs: number};
};
