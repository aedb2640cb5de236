import {type ConfigStore} from './configstore.js';
import {type Frame, type VersionEntry} from './frame.js';
import {type CoreContext} from './corecontext.js';
import {type Links} from './links.js';
import {
	type Member, type MemberStatus, isRunning, isServing, versionOf,
} from './member.js';
import {type Membership} from './membership.js';
import {type Announcement, type JoinRecord} from './message.js';
import {chooseNeighbors} from './neighbors.js';
import {type ConfigObject} from './spec.js';

/** How long a suspected member may refute, in ms. */
const SUSPICION_MS = 2000;
const REDIAL_DEAD_MS = 10_000;
const SEEDS = 3;
/** Records in one frame; bounds the frame's size. */
const BATCH = 100;
/** Heartbeats in a row with another digest before the member lists are compared. */
const MEMBER_MISMATCHES = 2;

/** What the gossip works with; all of it belongs to the same daemon. */
export type GossipParts = {
	readonly kernel: CoreContext;
	readonly membership: Membership;
	readonly config: ConfigStore;
	readonly links: Links;
};

/**
 * Spreads members and configuration over a sparse mesh: news is flooded once
 * along the links to the neighbors, and digests on heartbeats find what a
 * flood has missed.
 */
export class Gossip {
	readonly #parts: GossipParts;
	readonly #suspectedMs = new Map<string, number>();
	readonly #mismatches = new Map<string, number>();
	readonly #inPeers = new Set<string>();
	#self: Member;
	#neighbors: Member[] = [];
	#neighborIds: ReadonlySet<string> = new Set();
	#stale = true;
	#redialMs = 0;

	constructor(self: Member, parts: GossipParts) {
		this.#parts = parts;
		this.#self = self;
		this.#parts.membership.apply(self, parts.kernel.nowMs);
	}

	get self(): Member {
		return this.#self;
	}

	get neighborIds(): ReadonlySet<string> {
		return this.#neighborIds;
	}

	/** Asks some of the members in the join records for all that they know. */
	syncWithSeeds(records: readonly JoinRecord[]): string[] {
		const {kernel, links} = this.#parts;
		const others = records.filter(({id}) => id !== this.#self.id);
		const seeds: string[] = [];
		while (seeds.length < SEEDS && others.length > 0) {
			const [{id, address}] = others.splice(Math.floor(kernel.random() * others.length), 1);
			links.send(id, address, this.#syncFrame(true));
			seeds.push(id);
		}

		return seeds;
	}

	/** Tells of the target beside this daemon. */
	publishTarget(announcement: Announcement | undefined): void {
		this.#change({
			service: announcement?.service,
			slots: announcement?.slots ?? 0,
			connections: announcement?.connections ?? 0,
		});
	}

	/** Tells of this daemon's own leaving, to every linked peer at once. */
	publishDeparture(status: 'leaving' | 'left'): void {
		this.#self = {...this.#self, status};
		this.#parts.membership.apply(this.#self, this.#parts.kernel.nowMs);
		const frame: Frame = {type: 'gossip', members: [this.#self], config: []};
		for (const peer of this.#parts.links.connectedPeers()) {
			this.#parts.links.sendIfUp(peer, frame);
		}

		this.#tellCallers(frame);
	}

	/** Passes accepted configuration on. */
	publishConfig(objects: readonly ConfigObject[], except?: string): void {
		this.#flood([], objects, except);
	}

	onInboundLink(peer: string, up: boolean): void {
		if (up) {
			this.#inPeers.add(peer);
		} else {
			this.#inPeers.delete(peer);
		}
	}

	/** A link that this daemon had opened is gone. */
	onOutboundLinkLost(peer: string): void {
		this.#mismatches.delete(peer);
		const held = this.#parts.membership.get(peer);
		if (held?.status === 'alive') {
			this.#mark(peer, 'suspect');
		} else if (held?.status === 'leaving') {
			this.#mark(peer, 'left');
		}
	}

	/** @returns the configuration that was news */
	onGossip(peer: string, members: readonly Member[], config: readonly ConfigObject[]): ConfigObject[] {
		const news = members.filter(member => this.#take(member));
		const accepted = config.filter(object => this.#accept(object));
		if (news.length > 0 || accepted.length > 0) {
			this.#flood(news, accepted, peer);
		}

		return accepted;
	}

	onDigests(peer: string, members: number, config: number): void {
		const {membership, config: store, links} = this.#parts;
		if (members === membership.digest && config === store.digest) {
			this.#mismatches.delete(peer);
			return;
		}

		const count = (this.#mismatches.get(peer) ?? 0) + 1;
		this.#mismatches.set(peer, count);
		if (config !== store.digest || count >= MEMBER_MISMATCHES) {
			this.#mismatches.delete(peer);
			links.sendIfUp(peer, this.#syncFrame(true, count >= MEMBER_MISMATCHES));
		}
	}

	/** Sends a peer what it lacks, and asks for what this daemon lacks. */
	onSync(frame: Extract<Frame, {type: 'sync'}>, send: (frame: Frame) => void): void {
		const {membership, config} = this.#parts;
		const theirMembers = new Map(frame.members);
		const theirConfig = new Map(frame.config);
		const withMembers = frame.members.length > 0;
		const newer = withMembers
			? [...membership.all()].filter(member => versionOf(member) > (theirMembers.get(member.id) ?? -1))
			: [];
		const objects = [...config.objects.values()].filter(({name, generation}) => generation > (theirConfig.get(name) ?? 0));
		for (let at = 0; at < Math.max(newer.length, objects.length); at += BATCH) {
			send({type: 'gossip', members: newer.slice(at, at + BATCH), config: objects.slice(at, at + BATCH)});
		}

		if (frame.reply) {
			send(this.#syncFrame(false, withMembers));
		}
	}

	tick(): void {
		const {kernel, membership, links} = this.#parts;
		this.#refreshNeighbors();
		for (const {id, address} of this.#neighbors) {
			links.open(id, address);
		}

		for (const [id, sinceMs] of this.#suspectedMs) {
			if (kernel.nowMs - sinceMs > SUSPICION_MS) {
				this.#mark(id, 'dead');
			}
		}

		if (kernel.nowMs - this.#redialMs > REDIAL_DEAD_MS) {
			this.#redialMs = kernel.nowMs;
			this.#redialDead([...membership.all()]);
		}
	}

	// A cut that has healed leaves each side thinking the other dead.
	#redialDead(members: readonly Member[]): void {
		const {kernel, links} = this.#parts;
		const dead = members.filter(({status}) => status === 'dead');
		if (dead.length > 0) {
			const {id, address} = dead[Math.floor(kernel.random() * dead.length)];
			links.send(id, address, this.#syncFrame(true));
		}
	}

	#refreshNeighbors(): void {
		if (!this.#stale) {
			return;
		}

		this.#stale = false;
		this.#neighbors = chooseNeighbors(this.#self, this.#parts.membership.all());
		this.#neighborIds = new Set(this.#neighbors.map(({id}) => id));
	}

	#take(member: Member): boolean {
		if (member.id === this.#self.id) {
			this.#refute(member);
			return false;
		}

		const {membership, kernel} = this.#parts;
		const held = membership.get(member.id);
		if (!membership.apply(member, kernel.nowMs)) {
			return false;
		}

		this.#onChanged(member, held);
		return true;
	}

	// Someone takes this daemon for dead, or knows it from before a restart.
	#refute(member: Member): void {
		const {status, incarnation} = this.#self;
		const isOwn = versionOf(member) <= versionOf(this.#self);
		if (!isOwn && status !== 'left') {
			this.#self = {...this.#self, incarnation: Math.max(incarnation, member.incarnation) + 1};
			this.#publishSelf();
		}
	}

	#change(change: Partial<Member>): void {
		this.#self = {...this.#self, ...change, incarnation: this.#self.incarnation + 1};
		this.#publishSelf();
	}

	#publishSelf(): void {
		this.#parts.membership.apply(this.#self, this.#parts.kernel.nowMs);
		this.#flood([this.#self], []);
		this.#tellCallers({type: 'gossip', members: [this.#self], config: []});
	}

	#tellCallers(frame: Frame): void {
		for (const peer of this.#inPeers) {
			this.#parts.kernel.emit({
				type: 'frame', peer, side: 'in', frame,
			});
		}
	}

	#mark(id: string, status: MemberStatus): void {
		const {membership, kernel} = this.#parts;
		const held = membership.get(id);
		const next = membership.setStatus(id, status, kernel.nowMs);
		if (next === undefined) {
			this.#suspectedMs.delete(id);
			return;
		}

		this.#onChanged(next, held);
		this.#flood([next], []);
	}

	#onChanged(member: Member, held: Member | undefined): void {
		const {kernel} = this.#parts;
		if (member.status === 'suspect') {
			this.#suspectedMs.set(member.id, kernel.nowMs);
		} else {
			this.#suspectedMs.delete(member.id);
		}

		this.#stale ||= held === undefined || isRunning(held) !== isRunning(member);
		if (held?.status !== member.status || isServing(held) !== isServing(member)) {
			kernel.log('member', {id: member.id, status: member.status, service: member.service ?? ''});
		}
	}

	#accept(object: ConfigObject): boolean {
		const {config, kernel} = this.#parts;
		const acceptance = config.accept(object);
		if (acceptance === 'conflicting') {
			kernel.counters.add('config_conflicting', object.name);
		}

		return acceptance === 'accepted';
	}

	#flood(members: readonly Member[], config: readonly ConfigObject[], except?: string): void {
		this.#refreshNeighbors();
		const frame: Frame = {type: 'gossip', members, config};
		for (const peer of this.#neighborIds) {
			if (peer !== except) {
				this.#parts.links.sendIfUp(peer, frame);
			}
		}
	}

	#syncFrame(reply: boolean, withMembers = true): Frame {
		const members: VersionEntry[] = withMembers
			? [...this.#parts.membership.all()].map(member => [member.id, versionOf(member)])
			: [];
		const config: VersionEntry[] = [...this.#parts.config.objects.values()].map(({name, generation}) => [name, generation]);
		return {
			type: 'sync', reply, members, config,
		};
	}
}
