import {type Clock} from '../clock/index.js';
import {type EventLog} from '../log/index.js';
import {
	type Announcement, type Deregistration, type TargetLifecycle, usableSlots,
} from '../mesh/index.js';
import {type Adapter, type TargetMessage} from './adapter.js';
import {type Directory} from './directory.js';
import {type TargetOwner} from './targetowner.js';
import {type RelaySettings} from './settings.js';
import {type TargetClient} from './targetclient.js';

/** Announcements missed before a target counts as gone. */
const MISSED_ANNOUNCEMENTS = 4;
/** Health checks of a target that ran before its daemon started; its next announcement comes anyway. */
const MAX_PROBES = 4;

export type TargetMonitorParts = {
	readonly settings: () => RelaySettings;
	readonly adapter: Adapter;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly lifecycle: TargetLifecycle;
	readonly targetClient: TargetClient;
	readonly owner: TargetOwner;
	readonly directory: Directory;
};

/** Follows the target beside this daemon through its life, and tells the other daemons of it. */
export class TargetMonitor {
	readonly #parts: TargetMonitorParts;
	readonly #startMs: number;
	#probes = 0;
	#isMissing = false;

	constructor(parts: TargetMonitorParts) {
		this.#parts = parts;
		this.#startMs = parts.clock.nowMs();
	}

	/** How long a target may be silent, in ms. */
	get #patienceMs(): number {
		return this.#parts.settings().announceIntervalMs * MISSED_ANNOUNCEMENTS;
	}

	/** Takes in what the target says of itself. */
	handleMessage(message: TargetMessage): void {
		if (message.type === 'farewell') {
			this.#onFarewell(message.farewell);
		} else {
			this.#onAnnouncement(message.announcement);
		}
	}

	/** Asks a target that isn't known yet, and gives up one that has fallen silent. */
	check(): void {
		const {clock, log, lifecycle, owner} = this.#parts;
		const {current, lastHeardMs: heardMs} = lifecycle;
		if (current === undefined) {
			if (!this.#parts.settings().isFirstStart && this.#probes < MAX_PROBES) {
				void this.#probe();
			}

			this.#checkMissing();
			return;
		}

		const silentMs = clock.nowMs() - heardMs;
		if (silentMs > this.#patienceMs) {
			log.warn('target_silent', {instance: current.id, silentMs: Math.round(silentMs)});
			lifecycle.forget();
			owner.onTargetGone();
			this.#publish();
		}
	}

	// An entry from before this daemon's start would go on naming a target that is gone.
	#checkMissing(): void {
		const {clock, log} = this.#parts;
		const waitedMs = clock.nowMs() - this.#startMs;
		if (!this.#isMissing && waitedMs > this.#patienceMs) {
			this.#isMissing = true;
			log.warn('target_missing', {waitedMs: Math.round(waitedMs)});
			this.#publish();
		}
	}

	#onFarewell(farewell: Deregistration): void {
		const {clock, log, lifecycle} = this.#parts;
		const change = lifecycle.deregister(farewell, clock.nowMs());
		log.event('target_farewell', {instance: farewell.id, bornMs: farewell.bornMs ?? 0, change});
		if (change === 'left') {
			this.#publish();
		}
	}

	#onAnnouncement(announcement: Announcement): void {
		const {
			clock, log, lifecycle, targetClient: upstream, owner, directory,
		} = this.#parts;
		const settings = this.#parts.settings();
		const {id, bornMs, seq, service, state, slots} = announcement;
		if (service !== settings.service && directory.site?.services.has(service) !== true) {
			log.warn('announcement_foreign', {instance: id, service});
			return;
		}

		const change = lifecycle.announce(announcement, clock.nowMs());
		if (change === 'none') {
			return;
		}

		log.event('target_announced', {
			instance: id, bornMs, seq, state, change,
		});
		if (change === 'stale') {
			return;
		}

		if (change === 'joined') {
			upstream.discardConnections();
		}

		owner.setConcurrencyLimit(usableSlots(slots));
		this.#publish();
	}

	#publish(): void {
		const {lifecycle: {current, isDraining: isLeaving}, directory} = this.#parts;
		const {host, failureDomain, listen} = this.#parts.settings();
		const entry = {host, failureDomain, address: `${listen.peers.ip}:${listen.peers.port}`};
		directory.publish(current === undefined
			? entry
			: {
				...entry,
				target: {
					id: current.id, service: current.service, slots: current.slots, state: isLeaving ? 'draining' : 'ready',
				},
			});
	}

	// A target that runs on beside a daemon that has just started announces itself only after a while.
	async #probe(): Promise<void> {
		const {
			adapter, log, lifecycle, targetClient: upstream, directory,
		} = this.#parts;
		const {service, failureDomain, target} = this.#parts.settings();
		const path = directory.site?.services.get(service)?.healthPath;
		if (path === undefined) {
			return;
		}

		this.#probes++;
		try {
			const answer = await upstream.probe(path);
			const slots = answer === undefined ? undefined : adapter.parseSlots(answer.load);
			log.event('target_probed', {instance: answer?.id ?? '', slots: slots ?? 0});
			if (answer !== undefined && slots !== undefined && lifecycle.current === undefined) {
				// Born before anything that it will announce.
				this.#onAnnouncement({
					id: answer.id, bornMs: 0, seq: 0, service, failureDomain, address: `${target.ip}:${target.port}`, slots, state: 'ready', warmUpLeftMs: 0,
				});
			}
		} catch (error) {
			log.event('target_unprobed', {reason: (error as Error).message});
		}
	}
}
