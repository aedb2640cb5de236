import {type ConfigStore} from './configstore.js';
import {type Gossip} from './gossip.js';
import {type CoreContext} from './corecontext.js';
import {type Membership} from './membership.js';
import {type JoinRecord, type PlatformReply} from './message.js';
import {isElectedForDuty} from './neighbors.js';
import {type ConfigObject} from './spec.js';

/** Daemons of each failure domain that watch the platform's configuration. */
const WATCHERS_PER_DOMAIN = 2;
/** The first polls are frequent, so that daemons that start at the same time find each other soon. */
const FIRST_POLL_INTERVAL_MS = 1000;
const POLL_INTERVAL_MS = 60_000;
/** How long after the first sync requests of the start the daemon waits for all answers; after it, one is enough, in ms. */
const PEER_ANSWERS_WAIT_MS = 1000;
const DUTY_CHECK_INTERVAL_MS = 1000;
/** Age, in ms since the start or incarnation of a member that died or left, at which its join record is deleted. */
const STALE_JOIN_RECORD_MS = 600_000;

/** The components that the directory uses; all belong to the same daemon. */
export type DirectoryParts = {
	readonly coreContext: CoreContext;
	readonly membership: Membership;
	readonly config: ConfigStore;
	readonly gossip: Gossip;
};

/**
 * Keeps this daemon's join record, configuration and watch at the platform. It
 * sends no heartbeats there: while the platform is down, the daemon continues
 * with the members and configuration that it knows.
 */
export class Directory {
	readonly #parts: DirectoryParts;
	readonly #startMs: number;
	readonly #seeds: readonly JoinRecord[];
	#pollDueMs = 0;
	#dutyCheckDueMs = 0;
	#isWatching = false;
	#hasJoined = false;
	/** Peers asked at the start that have neither answered nor become unreachable; undefined until the first are asked. */
	#awaitedPeers: Set<string> | undefined;
	/** Join records whose daemons may still be asked at the start. */
	#unaskedRecords: readonly JoinRecord[] = [];
	#hasPeerAnswer = false;
	#waitUntilMs = Number.POSITIVE_INFINITY;
	#isPlatformDown = false;
	#pollIntervalMs = FIRST_POLL_INTERVAL_MS;

	constructor(parts: DirectoryParts, seeds: readonly JoinRecord[]) {
		this.#parts = parts;
		this.#startMs = parts.coreContext.nowMs;
		this.#seeds = seeds;
	}

	/** Whether the newest configuration that the daemon could find is in force. */
	get isReady(): boolean {
		const {config, coreContext} = this.#parts;
		return config.catalog !== undefined
			&& this.#awaitedPeers !== undefined
			&& (this.#awaitedPeers.size === 0 || (this.#hasPeerAnswer && coreContext.nowMs >= this.#waitUntilMs));
	}

	get isWatching(): boolean {
		return this.#isWatching;
	}

	get isPlatformDown(): boolean {
		return this.#isPlatformDown;
	}

	onPlatformReply(reply: PlatformReply): void {
		switch (reply.op) {
			case 'load': {
				this.#onLoad(reply);
				break;
			}

			case 'join': {
				this.#hasJoined = reply.ok;
				break;
			}

			case 'config': {
				this.applyConfig(reply.objects);
				break;
			}
		}
	}

	/** Records that a peer has answered the sync request sent at the start. */
	onPeerAnswered(peer: string): void {
		if (this.#awaitedPeers?.delete(peer) === true) {
			this.#hasPeerAnswer = true;
		}
	}

	/**
	 * Records that a peer can't be reached. A daemon that knows of no other could
	 * conclude that nobody else ever received a given idempotency key, so it asks
	 * further peers until one answers or all have been tried.
	 */
	onPeerLost(peer: string): void {
		if (this.#awaitedPeers?.delete(peer) === true && !this.#hasPeerAnswer && this.#awaitedPeers.size === 0) {
			this.#askNextPeers();
		}
	}

	/** Applies configuration from the platform. An older or conflicting version is counted and logged as an alarm. */
	applyConfig(objects: readonly ConfigObject[]): void {
		const {config, gossip, coreContext} = this.#parts;
		const accepted = objects.filter(object => {
			const acceptance = config.accept(object);
			if (acceptance === 'older' || acceptance === 'conflicting') {
				coreContext.counters.add(`config_${acceptance}`, object.name);
				coreContext.log(`config_${acceptance}`, {
					object: object.name, offered: object.generation, held: config.generationOf(object.name),
				});
			}

			return acceptance === 'accepted';
		});
		for (const {name, generation} of accepted) {
			coreContext.log('config_accepted', {object: name, generation});
		}

		if (accepted.length > 0) {
			gossip.publishConfig(accepted);
		}
	}

	tick(): void {
		const {coreContext} = this.#parts;
		if (coreContext.nowMs >= this.#pollDueMs) {
			this.#pollDueMs = coreContext.nowMs + this.#addJitter(this.#pollIntervalMs);
			this.#pollIntervalMs = this.#hasJoined ? Math.min(POLL_INTERVAL_MS, 2 * this.#pollIntervalMs) : FIRST_POLL_INTERVAL_MS;
			coreContext.emit({type: 'platform', request: {op: 'load'}});
			this.#askFirstPeers(this.#seeds);
		}

		if (coreContext.nowMs >= this.#dutyCheckDueMs) {
			this.#dutyCheckDueMs = coreContext.nowMs + DUTY_CHECK_INTERVAL_MS;
			this.#updateWatch();
		}
	}

	deregister(): void {
		const {coreContext, gossip} = this.#parts;
		coreContext.emit({type: 'platform', request: {op: 'watch', on: false}});
		coreContext.emit({type: 'platform', request: {op: 'leave', id: gossip.self.id}});
	}

	#onLoad(reply: Extract<PlatformReply, {op: 'load'}>): void {
		const {coreContext, gossip} = this.#parts;
		if (this.#isPlatformDown === reply.ok) {
			this.#isPlatformDown = !reply.ok;
			coreContext.log(reply.ok ? 'platform_up' : 'platform_down', {});
		}

		if (!reply.ok) {
			return;
		}

		this.applyConfig(reply.config);
		if (this.#awaitedPeers === undefined) {
			this.#askFirstPeers(reply.joins);
		} else {
			this.#syncWithUnknownPeers(reply.joins);
		}

		if (!this.#hasJoined && gossip.self.status === 'alive') {
			const {id, address} = gossip.self;
			coreContext.emit({type: 'platform', request: {op: 'join', record: {id, address, startMs: this.#startMs}}});
		}

		if (this.#isWatching) {
			this.#removeStaleJoinRecords(reply.joins);
		}
	}

	#askFirstPeers(records: readonly JoinRecord[]): void {
		const {coreContext, gossip} = this.#parts;
		if (this.#awaitedPeers !== undefined || (records.length === 0 && records === this.#seeds)) {
			return;
		}

		this.#unaskedRecords = records.filter(({id}) => id !== gossip.self.id);
		this.#waitUntilMs = coreContext.nowMs + PEER_ANSWERS_WAIT_MS;
		this.#askNextPeers();
	}

	#askNextPeers(): void {
		const asked = new Set(this.#parts.gossip.syncWithSeeds(this.#unaskedRecords));
		this.#awaitedPeers = asked;
		this.#unaskedRecords = this.#unaskedRecords.filter(({id}) => !asked.has(id));
	}

	// Contacts daemons that gossip hasn't mentioned: they joined at the same time,
	// or on the other side of a network partition.
	#syncWithUnknownPeers(records: readonly JoinRecord[]): void {
		const {membership, gossip} = this.#parts;
		gossip.syncWithSeeds(records.filter(({id}) => membership.get(id) === undefined));
	}

	#updateWatch(): void {
		const {coreContext, membership, gossip} = this.#parts;
		const isElected = isElectedForDuty('watch', gossip.self, membership.running(), WATCHERS_PER_DOMAIN);
		if (isElected !== this.#isWatching) {
			this.#isWatching = isElected;
			coreContext.emit({type: 'platform', request: {op: 'watch', on: isElected}});
		}
	}

	#removeStaleJoinRecords(joins: readonly JoinRecord[]): void {
		const {coreContext, membership} = this.#parts;
		for (const {id, startMs} of joins) {
			const member = membership.get(id);
			const isGone = member?.status === 'dead' || member?.status === 'left';
			if (isGone && coreContext.nowMs - Math.max(startMs, member.incarnation) > STALE_JOIN_RECORD_MS) {
				coreContext.emit({type: 'platform', request: {op: 'leave', id}});
			}
		}
	}

	#addJitter(ms: number): number {
		return ms * (0.5 + this.#parts.coreContext.random());
	}
}
