import {type JoinRecord} from './message.js';

/** What a daemon knows of itself at its start. */
export type CoreOptions = {
	readonly id: string;
	readonly address: string;
	readonly region: string;
	readonly failureDomain: string;
	/** Feeds the core's own random numbers; the same seed gives the same decisions. */
	readonly seed: number;
	/** Peers to ask when the platform can't be reached. */
	readonly seeds?: readonly JoinRecord[];
	readonly ledgerCapacity?: number;
};
