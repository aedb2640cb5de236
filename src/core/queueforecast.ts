import {type FloorController, type LoadView} from './floorcontroller.js';
import {rankOf} from './level.js';
import {type PriorityQueue} from './priorityqueue.js';
import {type QueueBounds, type ReceivedCall} from './receivedcall.js';
import {type SlotUsage} from './slotusage.js';

const MIN_QUEUE_CALLS = 4;
const DEFAULT_QUEUE_LIMIT_MS = 100;

/** What a forecast is made from. */
export type QueueForecastParts = {
	readonly queue: PriorityQueue<ReceivedCall>;
	readonly slotUsage: SlotUsage;
	readonly bounds: () => QueueBounds | undefined;
	/** How many calls the target runs at once at most. */
	readonly limit: () => number;
	readonly running: () => number;
};

/** Forecasts how long calls wait for a slot of the target, from the queue and the time that runs take. */
export class QueueForecast {
	readonly #parts: QueueForecastParts;

	constructor(parts: QueueForecastParts) {
		this.#parts = parts;
	}

	/** How long a call may wait, in ms. */
	get limitMs(): number {
		return this.#parts.bounds()?.queueLimitMs ?? DEFAULT_QUEUE_LIMIT_MS;
	}

	/** The most calls that may wait. */
	get capacity(): number {
		return Math.max(MIN_QUEUE_CALLS, Math.ceil(this.limitMs * this.#serviceRate()));
	}

	// A call that would expire in the queue is refused at once, so that its callers
	// hold no slots meanwhile; but never while a call of a lower rank is queued, so all that wait go before it.
	wouldExpire({level}: ReceivedCall, floorController: FloorController): boolean {
		const rank = rankOf(level);
		const {lowestLevel = 0, length} = this.#parts.queue;
		return length > MIN_QUEUE_CALLS && rankOf(lowestLevel) >= rank
			&& floorController.estimateWaitMs(rank, length, this.#serviceRate()) > this.limitMs;
	}

	createLoadView(): LoadView {
		const {queue, bounds, limit, running} = this.#parts;
		return {
			serviceRate: this.#serviceRate(),
			queuedWork: (level: number) => queue.countAtLeast(level),
			queueTargetMs: () => bounds()?.queueTargetMs ?? DEFAULT_QUEUE_LIMIT_MS / 2,
			isSaturated: queue.length > 0 || running() >= limit(),
		};
	}

	#serviceRate(): number {
		return Math.max(1, this.#parts.limit()) / this.#parts.slotUsage.meanRunMs;
	}
}
