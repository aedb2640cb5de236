import murmurhash from 'murmurhash';
import {Digest} from './digest.js';
import {
	type Member, type MemberStatus, isRunning, isServing, supersedes,
} from './member.js';

/** Points that one upstream has on its service's consistent-hash ring. */
const RING_POINTS_PER_UPSTREAM = 16;

type RingPoint = {readonly hash: number; readonly id: string};

type ServiceView = {
	serving: Member[];
	ring: RingPoint[];
	/** When the set of serving upstreams last changed, in ms since 1970. */
	changedMs: number;
};

/**
 * All daemons that this one knows of. Records are immutable, and only one that
 * supersedes another replaces it, so all daemons converge on the same records in
 * any order of arrival.
 */
export class Membership {
	readonly #members = new Map<string, Member>();
	readonly #services = new Map<string, ServiceView>();
	/** When this daemon recorded that a member had left or died, in ms since 1970. */
	readonly #endedMs = new Map<string, number>();
	readonly #region: string;
	readonly #startMs: number;
	readonly #digest = new Digest();

	/** @param startMs when this daemon started, in ms since 1970 */
	constructor(region: string, startMs: number) {
		this.#region = region;
		this.#startMs = startMs;
	}

	get digest(): number {
		return this.#digest.value;
	}

	get size(): number {
		return this.#members.size;
	}

	get(id: string): Member | undefined {
		return this.#members.get(id);
	}

	all(): IterableIterator<Member> {
		return this.#members.values();
	}

	/** Returns the members whose processes are assumed to be running. */
	running(): Member[] {
		return [...this.#members.values()].filter(member => isRunning(member));
	}

	/** Stores a record; returns false if the current one is at least as new. */
	apply(member: Member, nowMs: number): boolean {
		const current = this.#members.get(member.id);
		if (current !== undefined) {
			if (!supersedes(member, current)) {
				return false;
			}

			this.#toggle(current);
		}

		this.#toggle(member);
		this.#members.set(member.id, member);
		if (isRunning(member)) {
			this.#endedMs.delete(member.id);
		} else {
			this.#endedMs.set(member.id, nowMs);
		}

		this.#updateService(current, member, nowMs);
		return true;
	}

	/** Sets the status of a member as this daemon observed it; returns the new record if it supersedes the current one. */
	setStatus(id: string, status: MemberStatus, nowMs: number): Member | undefined {
		const current = this.#members.get(id);
		if (current === undefined) {
			return undefined;
		}

		const next = {...current, status};
		return this.apply(next, nowMs) ? next : undefined;
	}

	/** Returns the upstreams that accept new calls: those of the own region, or those of all regions if it has none. */
	servingUpstreams(service: string): readonly Member[] {
		return this.#services.get(service)?.serving ?? [];
	}

	/** Returns every upstream that may have received calls to the service, also those that left or died. */
	upstreamsEverServing(service: string): Member[] {
		return [...this.#members.values()].filter(member => member.service === service);
	}

	/** Returns when the service's serving upstreams last changed, in ms since 1970. What changed before this daemon's start isn't known. */
	servingChangedMs(service: string): number {
		return this.#services.get(service)?.changedMs ?? this.#startMs;
	}

	/** Returns the home upstream of a key: the same on every daemon that knows the same members. */
	homeUpstream(service: string, key: string): Member | undefined {
		const ring = this.#services.get(service)?.ring ?? [];
		if (ring.length === 0) {
			return undefined;
		}

		const hash = murmurhash.v3(key);
		let low = 0;
		let high = ring.length;
		while (low < high) {
			const middle = (low + high) >>> 1;
			if (ring[middle].hash < hash) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return this.#members.get(ring[low % ring.length].id);
	}

	/** Removes the records of members that left or died before the given time. */
	removeTombstones(endedBeforeMs: number): void {
		for (const [id, endedMs] of this.#endedMs) {
			if (endedMs < endedBeforeMs) {
				this.#toggle(this.#members.get(id)!);
				this.#members.delete(id);
				this.#endedMs.delete(id);
			}
		}
	}

	#toggle({id, incarnation, status}: Member): void {
		this.#digest.toggle(id, `${incarnation}/${status}`);
	}

	#updateService(current: Member | undefined, member: Member, nowMs: number): void {
		const before = current !== undefined && isServing(current) ? current.service : undefined;
		const after = isServing(member) ? member.service : undefined;
		if (before === after) {
			this.#replaceRecord(member);
			return;
		}

		for (const service of [before, after]) {
			if (service !== undefined) {
				this.#rebuildService(service, nowMs);
			}
		}
	}

	#replaceRecord(member: Member): void {
		const serving = this.#services.get(member.service ?? '')?.serving;
		const index = serving?.findIndex(({id}) => id === member.id) ?? -1;
		if (serving !== undefined && index !== -1) {
			serving[index] = member;
		}
	}

	#rebuildService(service: string, nowMs: number): void {
		const all = [...this.#members.values()].filter(member => member.service === service && isServing(member));
		const local = all.filter(member => member.region === this.#region);
		const serving = (local.length > 0 ? local : all).toSorted((a, b) => (a.id < b.id ? -1 : 1));
		const ring: RingPoint[] = [];
		for (const {id} of all) {
			for (let point = 0; point < RING_POINTS_PER_UPSTREAM; point++) {
				ring.push({hash: murmurhash.v3(`${id}#${point}`), id});
			}
		}

		ring.sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1));
		this.#services.set(service, {serving, ring, changedMs: nowMs});
	}
}
