/** Lifecycle state of a target, as it announces it. */
export type TargetState = 'ready' | 'draining';

/** Announcement of one start of a target to the daemon on its host. */
export type Announcement = {
	/** Instance id of the target; a later start may reuse it. */
	readonly id: string;
	/** Time at which this start began, in Unix ms; distinguishes starts under the same id. */
	readonly bornMs: number;
	/** Sequence number; increases with each announcement of one start. */
	readonly seq: number;
	readonly service: string;
	readonly failureDomain: string;
	readonly address: string;
	readonly slots: number;
	readonly state: TargetState;
	/** Remaining warm-up time, in which the target is slow after its start, in ms. */
	readonly warmUpLeftMs: number;
};

/** Notice from a target that one of its starts ends. */
export type Deregistration = {
	readonly id: string;
	/** Absent when the target doesn't name the start that ends: the current one is meant. */
	readonly bornMs?: number;
};

/** A start of a target that has deregistered; `bornMs` is when it began at the latest, in Unix ms. */
export type EndedStart = {readonly id: string; readonly bornMs: number};
