import {type EventLog} from '../../log/index.js';
import {type LoadReport, ServiceTimes, TargetSpeed} from '../../mesh/index.js';
import {type OwnedCall} from './ownedcall.js';

/** The share of failed runs from which a target counts as failing, and below which it no longer does; the gap keeps it from alternating. */
const FAILING_FROM = 0.3;
const FAILING_UNTIL = 0.1;

export type RunRecorderOptions = {
	readonly log: EventLog;
	/** Called when peers should hear by what factor the target is slower than usual; 1 if it no longer is. */
	readonly onSlowness: (slowness: number) => void;
};

/** Keeps what the runs of the target beside this daemon show of it: how fast it is, and how many fail. */
export class RunRecorder {
	readonly #options: RunRecorderOptions;
	readonly #serviceTimes = new ServiceTimes();
	readonly #targetSpeed = new TargetSpeed();
	#failingSinceMs: number | undefined;

	constructor(options: RunRecorderOptions) {
		this.#options = options;
	}

	/** Forgets what was usual for the target before, as another one has taken its place. */
	reset(): void {
		this.#targetSpeed.reset();
		this.#failingSinceMs = undefined;
	}

	/** Mean time of a call of the route in ms, for the decision whether it can meet its deadline. */
	expectedMs(route: string): number {
		return this.#serviceTimes.expectedMs(route);
	}

	/** Mean deviation from that time, in ms. */
	deviationMs(route: string): number {
		return this.#serviceTimes.deviationMs(route);
	}

	/** The part of a load report that the runs show. */
	describe(route: string): Pick<LoadReport, 'serviceMs' | 'failureShare'> {
		return {serviceMs: this.#serviceTimes.knownMs(route), failureShare: this.#targetSpeed.failureShare};
	}

	/** Records a run that the target answered. */
	recordRun(owned: OwnedCall, running: number, nowMs: number): void {
		const {log, onSlowness} = this.#options;
		const {template: {route}, instance} = owned.call;
		this.#serviceTimes.record(route, nowMs - owned.startedMs);
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
