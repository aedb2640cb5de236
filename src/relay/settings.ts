import {type StatsdOptions} from '../log/index.js';
import {type BudgetRoom, type RevocationOptions} from '../mesh/index.js';

/** A TCP address. */
export type Address = {readonly ip: string; readonly port: number};

/** The settings that the daemon of one host starts with. */
export type RelaySettings = {
	readonly host: string;
	readonly failureDomain: string;
	/** The service of the target beside this daemon; a reload can change it. */
	readonly service: string;
	/** Where the target beside this daemon accepts requests. */
	readonly target: Address;
	readonly listen: {
		/** For requests from the clients and the target on this host. */
		readonly requests: Address;
		/** For connections from the other daemons. */
		readonly peers: Address;
		readonly readiness: Address;
		/** For the target's announcements of itself and its deregistration. */
		readonly announcements: Address;
		/** For reading the metrics. */
		readonly metrics?: Address;
	};
	/** Where counters are sent by StatsD; without it they aren't sent. */
	readonly statsd?: StatsdOptions;
	/** Whether the whole system starts for the first time; otherwise the target may already be running. */
	readonly isFirstStart: boolean;
	/** Addresses of peers to ask for a configuration at the start; they may be outdated. */
	readonly seeds: readonly Address[];
	/** How often a target announces itself, in ms. */
	readonly announceIntervalMs: number;
	/** How long after its acceptance a configuration must be in force everywhere, in ms. */
	readonly configMs: number;
	/** How long after its start a daemon waits before it watches the store for others, in ms: until hosts that start together know each other. */
	readonly settlingMs: number;
	/** How long a target may still be given calls after its deregistration was acknowledged, in ms. */
	readonly drainMs: number;
	/** What withdrawn API keys need; without it keys count for as long as no newer configuration is known. */
	readonly revocation?: RevocationOptions;
	/** The time between the stop signal and the kill of the process, in ms. */
	readonly graceMs: number;
	/** How long a stopping daemon continues to accept requests, in ms: until its clients have noticed the stop. */
	readonly lameDuckMs: number;
	/** The retry budget of the whole site: `ratio` retries for each request, and besides `slack` retries in each window. */
	readonly retry: {readonly ratio: number; readonly slack: number; readonly windowMs: number};
	/** How far the requests of an organisation may go beyond its quota in a window; absent for the defaults. */
	readonly quotaRoom?: BudgetRoom;
	/** The memory that requests held for the end of a fault may take, in bytes; without it none is held, and no outcomes are counted. */
	readonly heldBytes?: number | undefined;
	/** How long a request that was proved to crash targets is refused, in ms, before it is tried again; without it none is. */
	readonly quarantineMs?: number | undefined;
	/** Whether the daemon reads what its target says of the load of its machine. */
	readonly usesMachineLoad?: boolean | undefined;
};
