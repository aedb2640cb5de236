/** What is said of a member; a later word in this list overrides an earlier one. */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'left' | 'dead';

/** A daemon and the target beside it, as the members know it. Immutable. */
export type Member = {
	readonly id: string;
	/** `host:port` at which peers connect. */
	readonly address: string;
	readonly region: string;
	readonly failureDomain: string;
	/** Raised only by the member itself; starts at its start time in ms. */
	readonly incarnation: number;
	readonly status: MemberStatus;
	/** The service of its target; absent while no target has announced itself. */
	readonly service?: string;
	readonly slots: number;
	readonly connections: number;
};

const PRECEDENCE: Record<MemberStatus, number> = {
	alive: 0, suspect: 1, leaving: 2, left: 3, dead: 4,
};

const STATUSES = 8;

/** One number that orders the records of a member. */
export function versionOf({incarnation, status}: Member): number {
	return (incarnation * STATUSES) + PRECEDENCE[status];
}

/** Whether `next` replaces `held`: a higher incarnation, or a stronger status in the same one. */
export function supersedes(next: Member, held: Member): boolean {
	return versionOf(next) > versionOf(held);
}

/** Whether new work may be sent to the member. */
export function isServing(member: Member): boolean {
	return member.service !== undefined && (member.status === 'alive' || member.status === 'suspect');
}

/** Whether the member's process is believed to run. */
export function isRunning(member: Member): boolean {
	return member.status !== 'dead' && member.status !== 'left';
}
