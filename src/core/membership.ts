import murmurhash from 'murmurhash';
import {
	type Member, type MemberStatus, isRunning, isServing, supersedes,
} from './member.js';

/** Points of one upstream on its service's hash ring. */
const RING_POINTS = 16;

type RingPoint = {readonly hash: number; readonly id: string};

type ServiceView = {
	serving: Member[];
	ring: RingPoint[];
	/** When the set of serving upstreams last changed, in ms since 1970. */
	changedMs: number;
};

/**
 * All daemons that this one knows of. Records are immutable and are replaced
 * only by ones that supersede them, so views converge in any order of arrival.
 */
export class Membership {
	readonly #members = new Map<string, Member>();
	readonly #services = new Map<string, ServiceView>();
	readonly #endedMs = new Map<string, number>();
	readonly #region: string;
	#digest = 0;

	constructor(region: string) {
		this.#region = region;
	}

	get digest(): number {
		return this.#digest;
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

	/** Takes a record in; false if what is held is as new. */
	apply(member: Member, nowMs: number): boolean {
		const held = this.#members.get(member.id);
		if (held !== undefined) {
			if (!supersedes(member, held)) {
				return false;
			}

			this.#digest ^= digestOf(held);
		}

		this.#digest ^= digestOf(member);
		this.#members.set(member.id, member);
		if (isRunning(member)) {
			this.#endedMs.delete(member.id);
		} else {
			this.#endedMs.set(member.id, nowMs);
		}

		this.#refresh(held, member, nowMs);
		return true;
	}

	/** Says of a member what this daemon has seen itself. */
	setStatus(id: string, status: MemberStatus, nowMs: number): Member | undefined {
		const held = this.#members.get(id);
		if (held === undefined) {
			return undefined;
		}

		const next = {...held, status};
		return this.apply(next, nowMs) ? next : undefined;
	}

	/** The upstreams that new work may go to, those of the own region if it has any. */
	servingUpstreams(service: string): readonly Member[] {
		return this.#services.get(service)?.serving ?? [];
	}

	/** Every upstream that may have had work of the service, ended ones included. */
	upstreamsEverServing(service: string): Member[] {
		return [...this.#members.values()].filter(member => member.service === service);
	}

	servingChangedMs(service: string): number {
		return this.#services.get(service)?.changedMs ?? 0;
	}

	/** The home upstream of a key: the same on every daemon with the same view. */
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

	/** Forgets members that ended long ago. */
	removeTombstones(endedBeforeMs: number): void {
		for (const [id, endedMs] of this.#endedMs) {
			if (endedMs < endedBeforeMs) {
				this.#digest ^= digestOf(this.#members.get(id)!);
				this.#members.delete(id);
				this.#endedMs.delete(id);
			}
		}
	}

	#refresh(held: Member | undefined, member: Member, nowMs: number): void {
		const before = held !== undefined && isServing(held) ? held.service : undefined;
		const after = isServing(member) ? member.service : undefined;
		if (before === after) {
			this.#replaceRecord(member);
			return;
		}

		for (const service of [before, after]) {
			if (service !== undefined) {
				this.#rebuild(service, nowMs);
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

	#rebuild(service: string, nowMs: number): void {
		const all = [...this.#members.values()].filter(member => member.service === service && isServing(member));
		const local = all.filter(member => member.region === this.#region);
		const serving = (local.length > 0 ? local : all).toSorted((a, b) => (a.id < b.id ? -1 : 1));
		const ring: RingPoint[] = [];
		for (const {id} of all) {
			for (let point = 0; point < RING_POINTS; point++) {
				ring.push({hash: murmurhash.v3(`${id}#${point}`), id});
			}
		}

		ring.sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1));
		this.#services.set(service, {serving, ring, changedMs: nowMs});
	}
}

function digestOf({id, incarnation, status}: Member): number {
	return murmurhash.v3(`${id}@${incarnation}/${status}`);
}
