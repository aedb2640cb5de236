import {type ConfigStore} from './configstore.js';
import {type Gossip} from './gossip.js';
import {type CoreContext} from './corecontext.js';
import {type Membership} from './membership.js';
import {type JoinRecord, type PlatformReply} from './message.js';
import {isElectedForDuty} from './neighbors.js';
import {type ConfigObject} from './spec.js';

const WATCHERS_PER_DOMAIN = 2;
/** The first polls come quickly, so that daemons that start together find each other. */
const FIRST_POLL_MS = 1000;
const POLL_MS = 60_000;
const PEERS_MS = 1000;
const DUTY_MS = 1000;
/** How long a dead member's join record is left standing, in ms. */
const STALE_JOIN_MS = 600_000;

/** What the directory works with; all of it belongs to the same daemon. */
export type DirectoryParts = {
	readonly kernel: CoreContext;
	readonly membership: Membership;
	readonly config: ConfigStore;
	readonly gossip: Gossip;
};

/**
 * This daemon's dealings with the platform: join record, configuration, watch.
 * Nothing here beats: with the platform down, all goes on with what is known.
 */
export class Directory {
	readonly #parts: DirectoryParts;
	readonly #startMs: number;
	readonly #seeds: readonly JoinRecord[];
	#loadDueMs = 0;
	#dutyDueMs = 0;
	#isWatching = false;
	#joined = false;
	/** Peers asked at the start that have neither answered nor been lost. */
	#awaited: Set<string> | undefined;
	/** Records that may still be asked at the start. */
	#unasked: readonly JoinRecord[] = [];
	#hasAnswer = false;
	#readyByMs = Number.POSITIVE_INFINITY;
	#platformDown = false;
	#pollMs = FIRST_POLL_MS;

	constructor(parts: DirectoryParts, seeds: readonly JoinRecord[]) {
		this.#parts = parts;
		this.#startMs = parts.kernel.nowMs;
		this.#seeds = seeds;
	}

	/** Whether the newest configuration that could be found is in force. */
	get isReady(): boolean {
		const {config, kernel} = this.#parts;
		return config.catalog !== undefined
			&& this.#awaited !== undefined
			&& (this.#awaited.size === 0 || (this.#hasAnswer && kernel.nowMs >= this.#readyByMs));
	}

	get isWatching(): boolean {
		return this.#isWatching;
	}

	get isPlatformDown(): boolean {
		return this.#platformDown;
	}

	onPlatformReply(reply: PlatformReply): void {
		switch (reply.op) {
			case 'load': {
				this.#onLoad(reply);
				break;
			}

			case 'join': {
				this.#joined = reply.ok;
				break;
			}

			case 'config': {
				this.applyConfig(reply.objects);
				break;
			}
		}
	}

	/** A peer has answered the first question after the start. */
	onPeerAnswered(peer: string): void {
		if (this.#awaited?.delete(peer) === true) {
			this.#hasAnswer = true;
		}
	}

	/**
	 * A peer can't be asked. A daemon that knew of no other could take itself for
	 * the only one that ever had a key, so it goes on asking until one answers or
	 * all have been tried.
	 */
	onPeerLost(peer: string): void {
		if (this.#awaited?.delete(peer) === true && !this.#hasAnswer && this.#awaited.size === 0) {
			this.#ask();
		}
	}

	/** Offers what the platform says; an older version than held is an alarm. */
	applyConfig(objects: readonly ConfigObject[]): void {
		const {config, gossip, kernel} = this.#parts;
		const accepted = objects.filter(object => {
			const acceptance = config.accept(object);
			if (acceptance === 'older' || acceptance === 'conflicting') {
				kernel.counters.add(`config_${acceptance}`, object.name);
				kernel.log(`config_${acceptance}`, {
					object: object.name, offered: object.generation, held: config.generationOf(object.name),
				});
			}

			return acceptance === 'accepted';
		});
		for (const {name, generation} of accepted) {
			kernel.log('config_accepted', {object: name, generation});
		}

		if (accepted.length > 0) {
			gossip.publishConfig(accepted);
		}
	}

	tick(): void {
		const {kernel} = this.#parts;
		if (kernel.nowMs >= this.#loadDueMs) {
			this.#loadDueMs = kernel.nowMs + this.#jittered(this.#pollMs);
			this.#pollMs = this.#joined ? Math.min(POLL_MS, 2 * this.#pollMs) : FIRST_POLL_MS;
			kernel.emit({type: 'platform', request: {op: 'load'}});
			this.#askSeeds(this.#seeds);
		}

		if (kernel.nowMs >= this.#dutyDueMs) {
			this.#dutyDueMs = kernel.nowMs + DUTY_MS;
			this.#takeDuty();
		}
	}

	deregister(): void {
		const {kernel, gossip} = this.#parts;
		kernel.emit({type: 'platform', request: {op: 'watch', on: false}});
		kernel.emit({type: 'platform', request: {op: 'leave', id: gossip.self.id}});
	}

	#onLoad(reply: Extract<PlatformReply, {op: 'load'}>): void {
		const {kernel, gossip} = this.#parts;
		if (this.#platformDown === reply.ok) {
			this.#platformDown = !reply.ok;
			kernel.log(reply.ok ? 'platform_up' : 'platform_down', {});
		}

		if (!reply.ok) {
			return;
		}

		this.applyConfig(reply.config);
		if (this.#awaited === undefined) {
			this.#askSeeds(reply.joins);
		} else {
			this.#meet(reply.joins);
		}

		if (!this.#joined && gossip.self.status === 'alive') {
			const {id, address} = gossip.self;
			kernel.emit({type: 'platform', request: {op: 'join', record: {id, address, startMs: this.#startMs}}});
		}

		if (this.#isWatching) {
			this.#removeStale(reply.joins);
		}
	}

	#askSeeds(records: readonly JoinRecord[]): void {
		const {kernel, gossip} = this.#parts;
		if (this.#awaited !== undefined || (records.length === 0 && records === this.#seeds)) {
			return;
		}

		this.#unasked = records.filter(({id}) => id !== gossip.self.id);
		this.#readyByMs = kernel.nowMs + PEERS_MS;
		this.#ask();
	}

	#ask(): void {
		const asked = new Set(this.#parts.gossip.syncWithSeeds(this.#unasked));
		this.#awaited = asked;
		this.#unasked = this.#unasked.filter(({id}) => !asked.has(id));
	}

	// Records of daemons that no gossip has told of: they joined at the same time,
	// or on the other side of a cut.
	#meet(records: readonly JoinRecord[]): void {
		const {membership, gossip} = this.#parts;
		gossip.syncWithSeeds(records.filter(({id}) => membership.get(id) === undefined));
	}

	#takeDuty(): void {
		const {kernel, membership, gossip} = this.#parts;
		const on = isElectedForDuty('watch', gossip.self, membership.all(), WATCHERS_PER_DOMAIN);
		if (on !== this.#isWatching) {
			this.#isWatching = on;
			kernel.emit({type: 'platform', request: {op: 'watch', on}});
		}
	}

	#removeStale(joins: readonly JoinRecord[]): void {
		const {kernel, membership} = this.#parts;
		for (const {id, startMs} of joins) {
			const member = membership.get(id);
			const isGone = member?.status === 'dead' || member?.status === 'left';
			if (isGone && kernel.nowMs - Math.max(startMs, member.incarnation) > STALE_JOIN_MS) {
				kernel.emit({type: 'platform', request: {op: 'leave', id}});
			}
		}
	}

	#jittered(ms: number): number {
		return ms * (0.5 + this.#parts.kernel.random());
	}
}
