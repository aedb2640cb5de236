import {type Clock} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {
	type AdmissionQueue, NO_SIGNALS, type TargetLifecycle, type TargetSignals,
} from '../../mesh/index.js';
import {type Call} from '../call.js';
import {type OwnedCall} from './ownedcall.js';

export type OwnSignalsOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly lifecycle: TargetLifecycle;
	readonly queue: AdmissionQueue<OwnedCall>;
	/** Called when the target says in an answer that it leaves, with whether that is its first answer here. */
	readonly onLeaving: (instance: string, isFirstAnswer: boolean) => void;
};

/** Acts on what the target beside this daemon says of itself: its rate limit, and that it leaves. */
export class OwnSignals {
	readonly #options: OwnSignalsOptions;
	/** What the target said of itself last; undefined until it has answered a call. */
	#signals: TargetSignals | undefined;

	constructor(options: OwnSignalsOptions) {
		this.#options = options;
	}

	/** Forgets what the target before said, as another one has taken its place. */
	reset(): void {
		this.#signals = undefined;
		this.#options.queue.setRateLimit(undefined, this.#options.clock.nowMs());
	}

	apply(instance: string, signals: TargetSignals): void {
		const {
			clock, log, lifecycle, queue, onLeaving,
		} = this.#options;
		if (lifecycle.current?.id !== instance) {
			return;
		}

		const {rateLimitPerS, isLeaving} = this.#signals ?? NO_SIGNALS;
		const isFirst = this.#signals === undefined;
		const hasChanged = signals.rateLimitPerS !== rateLimitPerS || signals.isLeaving !== isLeaving;
		this.#signals = signals;
		if (isFirst || hasChanged) {
			queue.setRateLimit(signals.rateLimitPerS, clock.nowMs());
		}

		if (!hasChanged) {
			return;
		}

		log.event('target_signals', {
			instance, rateLimitPerS: signals.rateLimitPerS ?? 'none', isLeaving: signals.isLeaving, running: queue.running, queued: queue.queued,
		});
		if (signals.isLeaving) {
			onLeaving(instance, isFirst);
		}
	}

	/** Adopts the limit that a caller has passed on: after a restart, it is known from there before the target answers. */
	adoptRateLimit({rateLimitPerS, instance}: Call, nowMs: number): void {
		const {log, queue} = this.#options;
		if (this.#signals === undefined && rateLimitPerS !== undefined && rateLimitPerS < queue.ratePerS) {
			queue.setRateLimit(rateLimitPerS, nowMs);
			log.event('rate_limit_from_peer', {instance, rateLimitPerS});
		}
	}
}
