/** Width of a bucket, in ms: how often waiting calls are checked. */
const BUCKET_MS = 50;
/** Half of the buckets lie ahead and cover more than the longest deadline that is usual. */
const BUCKET_COUNT = 512;
/** In place of a bucket for what must start later than the ring reaches. */
const BEYOND = -1;

/** The slot time that waiting calls are given in a ms, from `startMs` on. */
export type ServiceRate = {readonly perMs: number; readonly startMs: number};

/** The buckets from one to another, which isn't included, and the work that goes before them. */
type Range = {readonly from: number; readonly to: number; readonly workBeforeMs: number};

/** Sums the work of waiting calls by the latest time at which it must start, in buckets of time on a ring. */
export class WorkByLastStart {
	readonly #workMs = new Float64Array(BUCKET_COUNT);
	readonly #counts = new Uint32Array(BUCKET_COUNT);

	/** Adds the work of a call. @param bucket from `bucketOf` */
	add(bucket: number, workMs: number): void {
		if (bucket !== BEYOND) {
			this.#workMs[bucket] += workMs;
			this.#counts[bucket]++;
		}
	}

	/** Removes the work of a call. */
	remove(bucket: number, workMs: number): void {
		if (bucket !== BEYOND) {
			this.#counts[bucket]--;
			this.#workMs[bucket] = this.#counts[bucket] === 0 ? 0 : this.#workMs[bucket] - workMs;
		}
	}

	/** The work that must start in this bucket or before, in ms; infinite for what must start later than the ring reaches. */
	sumUntil(bucket: number, nowMs: number): number {
		if (bucket === BEYOND) {
			return Number.POSITIVE_INFINITY;
		}

		let sumMs = this.#workMs[bucket];
		for (let index = oldestBucket(nowMs); index !== bucket; index = (index + 1) % BUCKET_COUNT) {
			sumMs += this.#workMs[index];
		}

		return Math.max(0, sumMs);
	}

	/** The most work that could go before all that must start before this bucket, so that none of it starts too late, in ms. */
	roomBefore(bucket: number, rate: ServiceRate, nowMs: number): number {
		const oldest = oldestBucket(nowMs);
		return this.#roomIn({from: oldest, to: bucket === BEYOND ? (oldest - 1 + BUCKET_COUNT) % BUCKET_COUNT : bucket, workBeforeMs: 0}, rate, nowMs);
	}

	/** The most work that could be added to this bucket, so that nothing that must start after it starts too late, in ms. */
	roomAfter(bucket: number, rate: ServiceRate, nowMs: number): number {
		return bucket === BEYOND ? Number.POSITIVE_INFINITY : this.#roomIn({from: (bucket + 1) % BUCKET_COUNT, to: oldestBucket(nowMs), workBeforeMs: this.sumUntil(bucket, nowMs)}, rate, nowMs);
	}

	#roomIn({from, to, workBeforeMs}: Range, {perMs, startMs}: ServiceRate, nowMs: number): number {
		const oldest = oldestBucket(nowMs);
		let beforeMs = workBeforeMs;
		let roomMs = Number.POSITIVE_INFINITY;
		for (let index = from; index !== to; index = (index + 1) % BUCKET_COUNT) {
			const count = this.#counts[index];
			if (count > 0) {
				// The last call of the bucket must have started, not ended.
				const aheadMs = (((index - oldest + BUCKET_COUNT) % BUCKET_COUNT) - (BUCKET_COUNT / 2)) * BUCKET_MS;
				const startedMs = this.#workMs[index] * (1 - (1 / count));
				roomMs = Math.min(roomMs, ((nowMs + aheadMs - startMs) * perMs) - beforeMs - startedMs);
				beforeMs += this.#workMs[index];
			}
		}

		return roomMs;
	}
}

/** The bucket of a last start. */
export function bucketOf(lastStartMs: number, nowMs: number): number {
	const nowBucket = Math.floor(nowMs / BUCKET_MS);
	const offset = Math.max(1 - (BUCKET_COUNT / 2), Math.floor(lastStartMs / BUCKET_MS) - nowBucket);
	return offset < BUCKET_COUNT / 2 ? (nowBucket + offset + BUCKET_COUNT) % BUCKET_COUNT : BEYOND;
}

function oldestBucket(nowMs: number): number {
	return (Math.floor(nowMs / BUCKET_MS) + (BUCKET_COUNT / 2)) % BUCKET_COUNT;
}
