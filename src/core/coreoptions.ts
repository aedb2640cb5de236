import {type JoinRecord} from './message.js';
import {type RequestIdentity} from './requestidentity.js';

/** The settings of a daemon's core, fixed at its start. */
export type CoreOptions = {
	readonly id: string;
	readonly address: string;
	readonly region: string;
	readonly failureDomain: string;
	/** Seeds the core's random number generator; the same seed and inputs give the same decisions. */
	readonly seed: number;
	/** Peers to ask at the start, so that a daemon can start while the platform is unreachable. */
	readonly seeds?: readonly JoinRecord[];
	readonly ledgerCapacity?: number;
	/** Without it, requests that crash targets are sent like any others. */
	readonly quarantine?: {
		/** How long a request is refused after it was proved to crash targets, in ms, before it is tried again. */
		readonly firstHoldMs: number;
		readonly identity: RequestIdentity;
	};
};
