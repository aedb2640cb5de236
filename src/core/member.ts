/** The status of a member. Within an incarnation, a later one in this list overrides an earlier one. */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'left' | 'dead';

/** The record of a daemon and the target beside it, as all members exchange it. Immutable. */
export type Member = {
	readonly id: string;
	/** `host:port` at which peers connect. */
	readonly address: string;
	readonly region: string;
	readonly failureDomain: string;
	/** Only the member itself raises its incarnation, which begins with its start time in ms. */
	readonly incarnation: number;
	readonly status: MemberStatus;
	/** The service of its target; absent while no target has announced itself. */
	readonly service?: string;
	readonly slots: number;
	readonly connections: number;
};

const STATUS_PRECEDENCE: Record<MemberStatus, number> = {
	alive: 0, suspect: 1, leaving: 2, left: 3, dead: 4,
};

/** Exceeds every precedence, so that a higher incarnation always wins. */
const STATUS_RANGE = 8;

/** Returns a number that orders the records of a member: by incarnation, then by status. */
export function versionOf({incarnation, status}: Member): number {
	return (incarnation * STATUS_RANGE) + STATUS_PRECEDENCE[status];
}

/** Whether `next` replaces `current`: it has a higher incarnation, or in the same one a status of higher precedence. */
export function supersedes(next: Member, current: Member): boolean {
	return versionOf(next) > versionOf(current);
}

/** Whether new calls may be sent to the member. */
export function isServing(member: Member): boolean {
	return member.service !== undefined && (member.status === 'alive' || member.status === 'suspect');
}

/** Whether the member's process is assumed to be running. */
export function isRunning(member: Member): boolean {
	return member.status !== 'dead' && member.status !== 'left';
}
