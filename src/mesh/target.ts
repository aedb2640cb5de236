/** Where a target stands in its life, as it says itself. */
export type TargetState = 'ready' | 'draining';

/** One start of a target, as it announces itself to the daemon beside it. */
export type Announcement = {
	/** The target's id; a later start may bear it again. */
	readonly id: string;
	/** When this start began, in Unix ms: tells starts under one id apart. */
	readonly bornMs: number;
	/** Grows with each announcement of one start. */
	readonly seq: number;
	readonly service: string;
	readonly failureDomain: string;
	readonly address: string;
	readonly slots: number;
	readonly state: TargetState;
	/** How much longer it is slow after its start, in ms. */
	readonly warmUpLeftMs: number;
};

/** A start's end, as the target says it. */
export type Deregistration = {
	readonly id: string;
	/** Absent when the target doesn't say which of its starts ends: it is the one known of. */
	readonly bornMs?: number;
};
