import {type EventLog} from '../../log/index.js';
import {
	Knee, type LoadReport, MachineLoad, ServiceTimes, TargetSpeed,
} from '../../mesh/index.js';
import {type DecodeError} from '../error.js';
import {type OwnedCall} from './ownedcall.js';

/** The share of failed runs from which a target counts as failing, and below which it no longer does; the gap keeps it from alternating. */
const FAILING_FROM = 0.3;
const FAILING_UNTIL = 0.1;

export type RunRecorderOptions = {
	readonly log: EventLog;
	/** Called when peers should hear by what factor the target is slower than usual; 1 if it no longer is. */
	readonly onSlowness: (slowness: number) => void;
	/** Reads the load of the target's machine from its load header; absent if it isn't used. */
	readonly decodeMachineLoad?: ((load: string) => number | undefined) | undefined;
};

/** Keeps what the runs of the target beside this daemon show of it: how fast it is, and how many fail. */
export class RunRecorder {
	readonly #options: RunRecorderOptions;
	readonly #serviceTimes = new ServiceTimes();
	readonly #targetSpeed = new TargetSpeed();
	readonly #machineLoad = new MachineLoad();
	readonly #knee = new Knee();
	#hasRejectedLoad = false;
	#failingSinceMs: number | undefined;

	constructor(options: RunRecorderOptions) {
		this.#options = options;
	}

	/** Forgets what was usual for the target before, as another one has taken its place. */
	reset(): void {
		this.#targetSpeed.reset();
		this.#machineLoad.reset();
		this.#knee.reset();
		this.#hasRejectedLoad = false;
		this.#failingSinceMs = undefined;
	}

	/** Time of a call of the route that begins now, in ms, for the decision whether it can meet its deadline. */
	expectedMs(route: string, nowMs: number): number {
		return this.#machineLoad.expectedMs(route, this.#serviceTimes.expectedMs(route), nowMs);
	}

	/** Mean deviation from that time, in ms. */
	deviationMs(route: string): number {
		return this.#serviceTimes.deviationMs(route);
	}

	/** The part of a load report that the runs show. */
	describe(route: string, nowMs: number): Pick<LoadReport, 'serviceMs' | 'failureShare'> {
		return {serviceMs: this.#machineLoad.expectedMs(route, this.#serviceTimes.knownMs(route), nowMs), failureShare: this.#targetSpeed.failureShare};
	}

	/** The load of the target's machine as the target claims it; undefined if it isn't known. */
	machineLoadAt(nowMs: number): number | undefined {
		return this.#machineLoad.claimAt(nowMs);
	}

	/** Notes what the target says of its load in an answer. */
	onLoad(instance: string, load: string, nowMs: number): void {
		const {decodeMachineLoad, log} = this.#options;
		try {
			const claim = decodeMachineLoad?.(load);
			if (claim !== undefined) {
				this.#machineLoad.onClaim(claim, nowMs);
			}
		} catch (error) {
			if (!this.#hasRejectedLoad) {
				this.#hasRejectedLoad = true;
				log.warn('machine_load_rejected', {instance, reason: (error as DecodeError).message});
			}
		}
	}

	/** The share of its usual limit that the target should run at once. */
	get limitShare(): number {
		return this.#knee.share;
	}

	/** Records a run that the target answered. */
	recordRun(owned: OwnedCall, running: number, nowMs: number): void {
		const {log, onSlowness} = this.#options;
		const {template: {route}, instance} = owned.call;
		const spentMs = nowMs - owned.startedMs;
		const observed = {
			route, spentMs, machineLoad: owned.machineLoad, meanMs: this.#serviceTimes.knownMs(route),
		};
		const relativeTime = this.#machineLoad.relativeTimeOf(observed);
		if (relativeTime !== undefined && this.#knee.record(owned.usedShare, relativeTime, nowMs)) {
			log.event('concurrency_share', {instance, share: this.#knee.share.toFixed(2), running});
		}

		if (this.#machineLoad.record(observed)) {
			const {isBelieved, errors: {claim, mean}} = this.#machineLoad;
			log.event('machine_load', {
				instance, isBelieved, claimError: claim.toFixed(2), meanError: mean.toFixed(2),
			});
		}

		this.#serviceTimes.record(route, spentMs);
		const workMs = owned.workMs(nowMs);
		const sinceMs = this.#targetSpeed.slowSinceMs;
		if (workMs === undefined) {
			return;
		}

		log.registry.observe('run', {route}, workMs);
		if (!this.#targetSpeed.record(route, workMs, nowMs)) {
			return;
		}

		const {slowness, slowSinceMs} = this.#targetSpeed;
		onSlowness(slowness);
		if (sinceMs === undefined) {
			log.warn('target_slow', {
				instance, slowness: slowness.toFixed(1), route, workMs: Math.round(workMs), running,
			});
		} else if (slowSinceMs === undefined) {
			log.event('target_recovered', {instance, slowForMs: Math.round(nowMs - sinceMs)});
		}
	}

	/** Records whether the target itself shed or failed a run. */
	recordOutcome({call: {instance, template: {route}}}: OwnedCall, hasFailed: boolean, nowMs: number): void {
		const {log} = this.#options;
		this.#targetSpeed.recordOutcome(hasFailed);
		const {failureShare} = this.#targetSpeed;
		if (this.#failingSinceMs === undefined && failureShare >= FAILING_FROM) {
			this.#failingSinceMs = nowMs;
			log.warn('target_failing', {instance, route, failureShare: failureShare.toFixed(2)});
		} else if (this.#failingSinceMs !== undefined && failureShare < FAILING_UNTIL) {
			log.event('target_sound', {instance, failingForMs: Math.round(nowMs - this.#failingSinceMs)});
			this.#failingSinceMs = undefined;
		}
	}
}
