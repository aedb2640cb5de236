import {type Clock, type RunningClock} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {
	type Announcement, type Deregistration, type HostEntry, type TargetLifecycle, UNKNOWN_START_MS, usableSlots,
} from '../../mesh/index.js';
import {type Adapter, type TargetMessage} from '../adapter.js';
import {type Directory} from '../store/directory.js';
import {type RelaySettings} from '../settings.js';
import {type TargetOwner} from './targetowner.js';
import {type TargetClient} from './targetclient.js';

/** How many announcement intervals a target may stay silent before it counts as gone. */
const MAX_MISSED_ANNOUNCEMENTS = 4;
/** Limits the health checks for a target that runs already when its daemon starts; they only save waiting for its next announcement. */
const MAX_PROBES = 4;

export type TargetMonitorParts = {
	readonly settings: () => RelaySettings;
	/** Reads the settings again if they have changed. */
	readonly refreshSettings: () => void;
	readonly adapter: Adapter;
	readonly clock: Clock;
	readonly runningClock: RunningClock;
	readonly log: EventLog;
	readonly lifecycle: TargetLifecycle;
	readonly targetClient: TargetClient;
	readonly owner: TargetOwner;
	readonly directory: Directory;
};

/** Tracks the state of the target beside this daemon, and publishes it to the other daemons. */
export class TargetMonitor {
	readonly #parts: TargetMonitorParts;
	readonly #startMs: number;
	/** When the target was heard last, in ms on the running clock. */
	#lastHeardMs = 0;
	#probeCount = 0;
	/** Whether it is known what this daemon published before its start: a target that has left may still answer health checks. */
	#isOwnEntryKnown = false;
	#isReportedMissing = false;
	/** Resolves when the store holds the leaving that was published last, or doesn't in time; undefined until that is waited for. */
	#leavingStored: Promise<void> | undefined;

	constructor(parts: TargetMonitorParts) {
		this.#parts = parts;
		this.#startMs = parts.runningClock.nowMs();
	}

	/** The longest silence, in ms, after which the target still counts as running. */
	get #maxSilenceMs(): number {
		return this.#parts.settings().announceIntervalMs * MAX_MISSED_ANNOUNCEMENTS;
	}

	/** Processes an announcement or deregistration from the target. Resolves when it may be acknowledged. */
	async handleMessage(message: TargetMessage): Promise<void> {
		if (message.type === 'farewell') {
			this.#onDeregistration(message.farewell);
		} else {
			this.#onAnnouncement(message.announcement);
		}

		// If this process is killed, the next one is bound by the acknowledgement and must find what was acknowledged.
		if (this.#parts.lifecycle.isDraining) {
			this.#leavingStored ??= this.#untilLeavingStored();
			await this.#leavingStored;
		}
	}

	/** Takes in this daemon's own entry, which may be of before its start. */
	handleOwnEntry(entry: HostEntry | undefined): void {
		const {log, lifecycle, owner} = this.#parts;
		this.#isOwnEntryKnown = true;
		const {ended, target} = entry ?? {};
		const hasEnded = ended !== undefined && lifecycle.restoreEnded(ended);
		if (hasEnded) {
			log.event('target_ended_before', {instance: ended.id, bornMs: ended.bornMs});
		}

		const wasDraining = target?.state === 'draining' && target.bornMs !== undefined && lifecycle.restoreDrained({id: target.id, bornMs: target.bornMs});
		if (wasDraining) {
			log.event('target_drained_before', {instance: target.id, bornMs: target.bornMs ?? UNKNOWN_START_MS});
		}

		if (hasEnded || wasDraining) {
			owner.onTargetGone();
			this.#publish();
		}
	}

	/** Begins the drain of a target that said in an answer that it leaves. */
	handleLeaving(instance: string, isFirstAnswer: boolean): void {
		const {clock, log, lifecycle} = this.#parts;
		if (lifecycle.startDrain(instance, clock.nowMs(), isFirstAnswer)) {
			log.event('target_leaving', {instance, isFirstAnswer});
			this.#publish();
		}
	}

	/** Probes a target that isn't known yet, and drops one that has been silent for too long. */
	check(): void {
		const {runningClock, log, lifecycle, owner} = this.#parts;
		const {current} = lifecycle;
		if (current === undefined) {
			if (this.#isOwnEntryKnown && !this.#parts.settings().isFirstStart && this.#probeCount < MAX_PROBES) {
				void this.#probe();
			}

			this.#checkMissing();
			return;
		}

		const silentMs = runningClock.nowMs() - this.#lastHeardMs;
		if (silentMs > this.#maxSilenceMs) {
			log.warn('target_silent', {instance: current.id, silentMs: Math.round(silentMs)});
			lifecycle.forget();
			owner.onTargetGone();
			this.#publish();
		}
	}

	// Without this, an entry from before this daemon's start would keep naming a target that is gone.
	#checkMissing(): void {
		const {runningClock, log, lifecycle} = this.#parts;
		const waitedMs = runningClock.nowMs() - this.#startMs;
		if (!this.#isReportedMissing && waitedMs > this.#maxSilenceMs) {
			this.#isReportedMissing = true;
			log.warn('target_missing', {waitedMs: Math.round(waitedMs)});
			lifecycle.forget();
			this.#publish();
		}
	}

	#onDeregistration(deregistration: Deregistration): void {
		const {clock, log, lifecycle} = this.#parts;
		const change = lifecycle.deregister(deregistration, clock.nowMs());
		log.event('target_farewell', {
			instance: deregistration.id, bornMs: deregistration.bornMs ?? 0, change, drain: lifecycle.drainProgress(clock.nowMs()),
		});
		if (change !== 'stale') {
			this.#publish();
		}
	}

	#onAnnouncement(announcement: Announcement): void {
		const {
			clock, runningClock, log, lifecycle, targetClient, owner,
		} = this.#parts;
		const {id, bornMs, seq, service, state, slots} = announcement;
		if (service !== this.#parts.settings().service) {
			this.#parts.refreshSettings();
		}

		// A delayed announcement may come from a target that had the address before.
		if (service !== this.#parts.settings().service) {
			log.warn('announcement_foreign', {instance: id, service});
			return;
		}

		const change = lifecycle.announce(announcement, clock.nowMs());
		if (change !== 'stale') {
			this.#lastHeardMs = runningClock.nowMs();
		}

		if (change === 'none') {
			return;
		}

		log.event('target_announced', {
			instance: id, bornMs, seq, state, change, drain: lifecycle.drainProgress(clock.nowMs()),
		});
		if (change === 'stale') {
			return;
		}

		if (change === 'joined') {
			targetClient.discardConnections();
			owner.onTargetJoined();
		}

		owner.setConcurrencyLimit(usableSlots(slots));
		this.#publish();
	}

	#publish(): void {
		const {lifecycle: {current, isDraining, ended}, directory} = this.#parts;
		const {host, failureDomain, listen} = this.#parts.settings();
		const entry = {
			host, failureDomain, address: `${listen.peers.ip}:${listen.peers.port}`, ...(ended && {ended}),
		};
		this.#leavingStored = undefined;
		directory.publish(current === undefined
			? entry
			: {
				...entry,
				target: {
					id: current.id,
					...(current.bornMs !== UNKNOWN_START_MS && {bornMs: current.bornMs}),
					service: current.service,
					slots: current.slots,
					state: isDraining ? 'draining' : 'ready',
				},
			});
	}

	async #untilLeavingStored(): Promise<void> {
		const {directory, lifecycle, log} = this.#parts;
		if (!await directory.untilStored()) {
			log.event('leaving_unstored', {instance: lifecycle.current?.id ?? ''});
		}
	}

	// A target that kept running while its daemon restarted announces itself only after a while.
	async #probe(): Promise<void> {
		const {
			adapter, log, lifecycle, targetClient, owner, directory,
		} = this.#parts;
		const {service, failureDomain, target} = this.#parts.settings();
		const path = directory.site?.services.get(service)?.healthPath;
		if (path === undefined) {
			return;
		}

		this.#probeCount++;
		try {
			const answer = await targetClient.probe(path);
			const slots = answer === undefined ? undefined : adapter.parseSlots(answer.load);
			log.event('target_probed', {instance: answer?.id ?? '', slots: slots ?? 0});
			if (answer !== undefined && slots !== undefined && lifecycle.current === undefined) {
				this.#onAnnouncement({
					id: answer.id, bornMs: UNKNOWN_START_MS, seq: 0, service, failureDomain, address: `${target.ip}:${target.port}`, slots, state: 'ready', warmUpLeftMs: 0,
				});
				owner.applySignals(answer.id, answer.signals);
			}
		} catch (error) {
			log.event('target_unprobed', {reason: (error as Error).message});
		}
	}
}
