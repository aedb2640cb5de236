import {type HostEntry, type PublishedTarget} from './host.js';
import {type TargetSignals} from './targetsignals.js';

type HeardSignals = {readonly target: PublishedTarget; readonly rateLimitPerS: number | undefined; readonly leavingSinceMs: number | undefined};

/** What the targets said of themselves in the answers that this daemon has passed on. */
export class TargetSignalTable {
	readonly #drainMs: number;
	readonly #hosts = new Map<string, HeardSignals>();

	/** @param drainMs how long a target may still be sent requests after it said that it leaves, in ms */
	constructor(drainMs: number) {
		this.#drainMs = drainMs;
	}

	/** Records what the target of the host said in its newest answer. @returns whether it differs from what it said before */
	record({host, target}: HostEntry, {rateLimitPerS, isLeaving}: TargetSignals, nowMs: number): boolean {
		if (target === undefined) {
			return false;
		}

		const known = this.#find(host, target);
		// An answer that the target sent before it began to leave may arrive after one that it sent later.
		const leavingSinceMs = known?.leavingSinceMs ?? (isLeaving ? nowMs : undefined);
		if (rateLimitPerS === undefined && leavingSinceMs === undefined) {
			return this.#hosts.delete(host);
		}

		this.#hosts.set(host, {target, rateLimitPerS, leavingSinceMs});
		return known?.rateLimitPerS !== rateLimitPerS || known?.leavingSinceMs !== leavingSinceMs;
	}

	/** The rate limit that the host's target named last, in requests per second. */
	rateLimitOf({host, target}: HostEntry): number | undefined {
		return this.#find(host, target)?.rateLimitPerS;
	}

	/** Whether the host's target said that it leaves, and its drain time is over. */
	hasLeft({host, target}: HostEntry, nowMs: number): boolean {
		const leavingSinceMs = this.#find(host, target)?.leavingSinceMs;
		return leavingSinceMs !== undefined && nowMs - leavingSinceMs >= this.#drainMs;
	}

	/** The entries without those whose target has left. */
	withoutLeft(entries: readonly HostEntry[], nowMs: number): readonly HostEntry[] {
		return this.#hosts.size === 0 ? entries : entries.filter(entry => !this.hasLeft(entry, nowMs));
	}

	forget(host: string): void {
		this.#hosts.delete(host);
	}

	#find(host: string, target: PublishedTarget | undefined): HeardSignals | undefined {
		const known = this.#hosts.get(host);
		return known !== undefined && target !== undefined && isSameStart(known.target, target) ? known : undefined;
	}
}

// A daemon that has just started knows its target's id before it knows the start.
function isSameStart(left: PublishedTarget, right: PublishedTarget): boolean {
	return left.id === right.id && (left.bornMs === undefined || right.bornMs === undefined || left.bornMs === right.bornMs);
}
