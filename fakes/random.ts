import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random numbers for the fakes. */
export class Random {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a uniformly distributed number in [0, 1). */
	next(): number {
		return uniformFloat64(this.#generator);
	}

	below(limit: number): number {
		return Math.floor(this.next() * limit);
	}

	between(low: number, high: number): number {
		return low + (this.next() * (high - low));
	}

	chance(probability: number): boolean {
		return this.next() < probability;
	}

	pick<T>(items: readonly T[]): T {
		return items[this.below(items.length)];
	}

	exponential(mean: number): number {
		return -Math.log(1 - this.next()) * mean;
	}

	/** Returns a service time with a moderate spread: half of the mean is fixed, half is exponentially distributed. */
	serviceMs(meanMs: number): number {
		return (meanMs / 2) + this.exponential(meanMs / 2);
	}
}
