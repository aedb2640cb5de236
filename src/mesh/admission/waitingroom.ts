import TinyQueue from 'tinyqueue';

/** A request that waits at its first daemon. */
export type WaitingRequest = {
	/** What it waits for: requests of the same kind may start at the same time, or none of them. */
	readonly kind: string;
	/** 0 is the highest. */
	readonly rank: number;
	/** The last moment at which it can start and still be answered, in ms. */
	readonly lastStartMs: number;
	/** The memory that it takes, in bytes. */
	readonly sizeBytes: number;
};

/** Bytes that each waiting request counts besides its own size. */
const REQUEST_BYTES = 4096;

/**
 * Holds requests until they may start, bounded in bytes. They leave by rank and
 * then by their last useful moment, each at that moment at the latest.
 * Handles the load pattern in which requests that can wait arrive while a service
 * that they need is out of order.
 */
export class WaitingRoom<T extends WaitingRequest> {
	readonly #maxBytes: number;
	readonly #waiting = new Set<T>();
	readonly #queues = new Map<string, TinyQueue<T>>();
	#usedBytes = 0;

	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	get size(): number {
		return this.#waiting.size;
	}

	get usedBytes(): number {
		return this.#usedBytes;
	}

	/** @returns whether there was room */
	add(request: T): boolean {
		const bytes = request.sizeBytes + REQUEST_BYTES;
		if (this.#usedBytes + bytes > this.#maxBytes) {
			return false;
		}

		this.#usedBytes += bytes;
		this.#waiting.add(request);
		const queue = this.#queues.get(request.kind) ?? createQueue<T>([]);
		this.#queues.set(request.kind, queue);
		queue.push(request);
		return true;
	}

	remove(request: T): void {
		if (!this.#waiting.delete(request)) {
			return;
		}

		this.#usedBytes -= request.sizeBytes + REQUEST_BYTES;
		const queue = this.#queues.get(request.kind)!;
		// Removed requests stay in the queue until they come first; where most are of that kind, it is built again.
		if (queue.length > (this.#waiting.size * 2) + 16) {
			this.#queues.set(request.kind, createQueue([...this.#waiting].filter(({kind}) => kind === request.kind)));
		}
	}

	/** Removes and returns a request whose last useful moment has come. */
	takeDue(nowMs: number): T | undefined {
		for (const queue of this.#queues.values()) {
			const first = this.#first(queue);
			if (first !== undefined && first.lastStartMs <= nowMs) {
				this.remove(first);
				return first;
			}
		}

		return undefined;
	}

	/** Removes and returns the request that is first by rank, then by its last useful moment, among those of the kinds that may start. */
	takeNext(mayStart: (kind: string) => boolean): T | undefined {
		let next: T | undefined;
		for (const [kind, queue] of this.#queues) {
			const first = this.#first(queue);
			const isNext = first !== undefined && (next === undefined || first.rank < next.rank || (first.rank === next.rank && first.lastStartMs < next.lastStartMs));
			if (isNext && mayStart(kind)) {
				next = first;
			}
		}

		if (next !== undefined) {
			this.remove(next);
		}

		return next;
	}

	#first(queue: TinyQueue<T>): T | undefined {
		while (queue.length > 0 && !this.#waiting.has(queue.peek()!)) {
			queue.pop();
		}

		return queue.peek();
	}
}

function createQueue<T extends WaitingRequest>(requests: T[]): TinyQueue<T> {
	return new TinyQueue<T>(requests, (a, b) => a.lastStartMs - b.lastStartMs);
}
