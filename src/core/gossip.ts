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

/** How long a suspected member has to refute the suspicion, in ms. */
const SUSPICION_TIMEOUT_MS = 2000;
const DEAD_REDIAL_INTERVAL_MS = 10_000;
/** Peers that are asked at the same time for everything they know. */
const SEED_COUNT = 3;
/** Most member records, and most configuration objects, in one frame; limits the frame's size. */
const MAX_RECORDS_PER_FRAME = 100;
/** Consecutive heartbeats with a different digest before the member lists are compared. */
const MEMBER_MISMATCH_LIMIT = 2;

/** The components that gossip uses; all belong to the same daemon. */
export type GossipParts = {
	readonly coreContext: CoreContext;
	readonly membership: Membership;
	readonly config: ConfigStore;
	readonly links: Links;
};

/**
 * Spreads member records and configuration over a sparse mesh. Each change is
 * flooded once along the links to the neighbors; digests on heartbeats reveal
 * the changes that a flood has missed.
 */
export class Gossip {
	readonly #parts: GossipParts;
	readonly #suspectedSinceMs = new Map<string, number>();
	readonly #mismatchCounts = new Map<string, number>();
	readonly #inboundPeers = new Set<string>();
	#self: Member;
	#neighbors: Member[] = [];
	#neighborIds: ReadonlySet<string> = new Set();
	#areNeighborsStale = true;
	#lastRedialMs = 0;

	constructor(self: Member, parts: GossipParts) {
		this.#parts = parts;
		this.#self = self;
		this.#parts.membership.apply(self, parts.coreContext.nowMs);
	}

	get self(): Member {
		return this.#self;
	}

	get neighborIds(): ReadonlySet<string> {
		return this.#neighborIds;
	}

	/**
	 * Asks some random daemons of the join records for everything they know.
	 * @returns the ids of the daemons asked
	 */
	syncWithSeeds(records: readonly JoinRecord[]): string[] {
		const {coreContext, links} = this.#parts;
		const others = records.filter(({id}) => id !== this.#self.id);
		const seeds: string[] = [];
		while (seeds.length < SEED_COUNT && others.length > 0) {
			const [{id, address}] = others.splice(Math.floor(coreContext.random() * others.length), 1);
			links.send(id, address, this.#createSyncFrame(true));
			seeds.push(id);
		}

		return seeds;
	}

	/** Publishes what the target beside this daemon announced; undefined means that it has none. */
	publishTarget(announcement: Announcement | undefined): void {
		this.#updateSelf({
			service: announcement?.service,
			slots: announcement?.slots ?? 0,
			connections: announcement?.connections ?? 0,
		});
	}

	/** Publishes this daemon's own departure directly to every connected peer, not only to the neighbors. */
	publishDeparture(status: 'leaving' | 'left'): void {
		this.#self = {...this.#self, status};
		this.#parts.membership.apply(this.#self, this.#parts.coreContext.nowMs);
		const frame: Frame = {type: 'gossip', members: [this.#self], config: []};
		for (const peer of this.#parts.links.connectedPeers()) {
			this.#parts.links.sendIfUp(peer, frame);
		}

		this.#sendToInboundPeers(frame);
	}

	/** Sends accepted configuration to all neighbors except `except`. */
	publishConfig(objects: readonly ConfigObject[], except?: string): void {
		this.#flood([], objects, except);
	}

	/** Sends a frame to all neighbors except `except`. */
	flood(frame: Frame, except?: string): void {
		this.#refreshNeighbors();
		for (const peer of this.#neighborIds) {
			if (peer !== except) {
				this.#parts.links.sendIfUp(peer, frame);
			}
		}
	}

	onInboundLink(peer: string, isUp: boolean): void {
		if (isUp) {
			this.#inboundPeers.add(peer);
		} else {
			this.#inboundPeers.delete(peer);
		}
	}

	/** Handles the loss of a link that this daemon opened. */
	onOutboundLinkLost(peer: string): void {
		this.#mismatchCounts.delete(peer);
		const current = this.#parts.membership.get(peer);
		if (current?.status === 'alive') {
			this.#setStatus(peer, 'suspect');
		} else if (current?.status === 'leaving') {
			this.#setStatus(peer, 'left');
		}
	}

	/**
	 * Applies records from a peer and passes on those that are new.
	 * @returns the configuration objects that were accepted
	 */
	onGossip(peer: string, members: readonly Member[], config: readonly ConfigObject[]): ConfigObject[] {
		const newMembers = members.filter(member => this.#applyMember(member));
		const accepted = config.filter(object => this.#acceptConfig(object));
		if (newMembers.length > 0 || accepted.length > 0) {
			this.#flood(newMembers, accepted, peer);
		}

		return accepted;
	}

	onDigests(peer: string, members: number, config: number): void {
		const {membership, config: store, links} = this.#parts;
		if (members === membership.digest && config === store.digest) {
			this.#mismatchCounts.delete(peer);
			return;
		}

		const mismatchCount = (this.#mismatchCounts.get(peer) ?? 0) + 1;
		this.#mismatchCounts.set(peer, mismatchCount);
		if (config !== store.digest || mismatchCount >= MEMBER_MISMATCH_LIMIT) {
			this.#mismatchCounts.delete(peer);
			links.sendIfUp(peer, this.#createSyncFrame(true, mismatchCount >= MEMBER_MISMATCH_LIMIT));
		}
	}

	/** Sends a peer the records that it lacks and, if it asks for them, this daemon's versions. */
	onSync(frame: Extract<Frame, {type: 'sync'}>, send: (frame: Frame) => void): void {
		const {membership, config} = this.#parts;
		const theirMembers = new Map(frame.members);
		const theirConfig = new Map(frame.config);
		const includesMembers = frame.members.length > 0;
		const newerMembers = includesMembers
			? [...membership.all()].filter(member => versionOf(member) > (theirMembers.get(member.id) ?? -1))
			: [];
		const newerObjects = [...config.objects.values()].filter(({name, generation}) => generation > (theirConfig.get(name) ?? 0));
		for (let at = 0; at < Math.max(newerMembers.length, newerObjects.length); at += MAX_RECORDS_PER_FRAME) {
			send({type: 'gossip', members: newerMembers.slice(at, at + MAX_RECORDS_PER_FRAME), config: newerObjects.slice(at, at + MAX_RECORDS_PER_FRAME)});
		}

		if (frame.reply) {
			send(this.#createSyncFrame(false, includesMembers));
		}
	}

	tick(): void {
		const {coreContext, membership, links} = this.#parts;
		this.#refreshNeighbors();
		for (const {id, address} of this.#neighbors) {
			links.open(id, address);
		}

		for (const [id, sinceMs] of this.#suspectedSinceMs) {
			if (coreContext.nowMs - sinceMs > SUSPICION_TIMEOUT_MS) {
				this.#setStatus(id, 'dead');
			}
		}

		if (coreContext.nowMs - this.#lastRedialMs > DEAD_REDIAL_INTERVAL_MS) {
			this.#lastRedialMs = coreContext.nowMs;
			this.#redialDead([...membership.all()]);
		}
	}

	// Dials a dead member, as each side still records the other as dead after a
	// network partition has healed.
	#redialDead(members: readonly Member[]): void {
		const {coreContext, links} = this.#parts;
		const dead = members.filter(({status}) => status === 'dead');
		if (dead.length > 0) {
			const {id, address} = dead[Math.floor(coreContext.random() * dead.length)];
			links.send(id, address, this.#createSyncFrame(true));
		}
	}

	#refreshNeighbors(): void {
		if (!this.#areNeighborsStale) {
			return;
		}

		this.#areNeighborsStale = false;
		this.#neighbors = chooseNeighbors(this.#self, this.#parts.membership.running());
		this.#neighborIds = new Set(this.#neighbors.map(({id}) => id));
	}

	#applyMember(member: Member): boolean {
		if (member.id === this.#self.id) {
			this.#refuteIfNewer(member);
			return false;
		}

		const {membership, coreContext} = this.#parts;
		const current = membership.get(member.id);
		if (!membership.apply(member, coreContext.nowMs)) {
			return false;
		}

		this.#onMemberChanged(member, current);
		return true;
	}

	// Refutes the record of a peer that believes this daemon dead or knows it from before a restart.
	#refuteIfNewer(member: Member): void {
		const {status, incarnation} = this.#self;
		const isKnown = versionOf(member) <= versionOf(this.#self);
		if (!isKnown && status !== 'left') {
			this.#self = {...this.#self, incarnation: Math.max(incarnation, member.incarnation) + 1};
			this.#publishSelf();
		}
	}

	#updateSelf(change: Partial<Member>): void {
		this.#self = {...this.#self, ...change, incarnation: this.#self.incarnation + 1};
		this.#publishSelf();
	}

	#publishSelf(): void {
		this.#parts.membership.apply(this.#self, this.#parts.coreContext.nowMs);
		this.#flood([this.#self], []);
		this.#sendToInboundPeers({type: 'gossip', members: [this.#self], config: []});
	}

	#sendToInboundPeers(frame: Frame): void {
		for (const peer of this.#inboundPeers) {
			this.#parts.coreContext.emit({
				type: 'frame', peer, side: 'in', frame,
			});
		}
	}

	#setStatus(id: string, status: MemberStatus): void {
		const {membership, coreContext} = this.#parts;
		const current = membership.get(id);
		const next = membership.setStatus(id, status, coreContext.nowMs);
		if (next === undefined) {
			this.#suspectedSinceMs.delete(id);
			return;
		}

		this.#onMemberChanged(next, current);
		this.#flood([next], []);
	}

	#onMemberChanged(member: Member, current: Member | undefined): void {
		const {coreContext} = this.#parts;
		if (member.status === 'suspect') {
			this.#suspectedSinceMs.set(member.id, coreContext.nowMs);
		} else {
			this.#suspectedSinceMs.delete(member.id);
		}

		this.#areNeighborsStale ||= current === undefined || isRunning(current) !== isRunning(member);
		if (current?.status !== member.status || isServing(current) !== isServing(member)) {
			coreContext.log('member', {id: member.id, status: member.status, service: member.service ?? ''});
		}
	}

	#acceptConfig(object: ConfigObject): boolean {
		const {config, coreContext} = this.#parts;
		const acceptance = config.accept(object);
		if (acceptance === 'conflicting') {
			coreContext.counters.add('config_conflicting', object.name);
		}

		return acceptance === 'accepted';
	}

	#flood(members: readonly Member[], config: readonly ConfigObject[], except?: string): void {
		this.flood({type: 'gossip', members, config}, except);
	}

	#createSyncFrame(reply: boolean, includesMembers = true): Frame {
		const members: VersionEntry[] = includesMembers
			? [...this.#parts.membership.all()].map(member => [member.id, versionOf(member)])
			: [];
		const config: VersionEntry[] = [...this.#parts.config.objects.values()].map(({name, generation}) => [name, generation]);
		return {
			type: 'sync', reply, members, config,
		};
	}
}
