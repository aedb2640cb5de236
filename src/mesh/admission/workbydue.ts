/** Width of a bucket, in ms: short compared with any objective. */
const BUCKET_MS = 50;
/** A power of two; half of the buckets lie ahead and cover more than the longest deadline that is usual. */
const BUCKET_COUNT = 512;

/** Sums the work that is due until a time, in buckets of time on a ring (a Fenwick tree); each operation is logarithmic. */
export class WorkByDue {
	readonly #sums = new Float64Array(BUCKET_COUNT + 1);

	/** Adds work that is due at a time, or removes it if it is negative. @param bucket from `bucketOf` */
	add(bucket: number, workMs: number): void {
		for (let index = bucket + 1; index <= BUCKET_COUNT; index += index & -index) {
			this.#sums[index] += workMs;
		}
	}

	/** The bucket of a due time; what is due later than the ring reaches goes into its last one. */
	bucketOf(dueMs: number, nowMs: number): number {
		const nowBucket = Math.floor(nowMs / BUCKET_MS);
		const offset = Math.min((BUCKET_COUNT / 2) - 1, Math.max(1 - (BUCKET_COUNT / 2), Math.floor(dueMs / BUCKET_MS) - nowBucket));
		return (nowBucket + offset + BUCKET_COUNT) % BUCKET_COUNT;
	}

	/** The work that is due in this bucket and those before it, in ms. */
	sumUntil(bucket: number, nowMs: number): number {
		const oldest = (Math.floor(nowMs / BUCKET_MS) + (BUCKET_COUNT / 2)) % BUCKET_COUNT;
		const before = this.#prefix(bucket + 1) - this.#prefix(oldest);
		return Math.max(0, bucket >= oldest ? before : before + this.#prefix(BUCKET_COUNT));
	}

	/** Forgets the rounding errors of past sums. */
	clear(): void {
		this.#sums.fill(0);
	}

	#prefix(length: number): number {
		let sum = 0;
		for (let index = length; index > 0; index -= index & -index) {
			sum += this.#sums[index];
		}

		return sum;
	}
}
