import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Output} from './message.js';

const UINT32_RANGE = 0x1_00_00_00_00;

/** Counts by name, then by labels joined with `|`. */
export class Counters {
	readonly #counts = new Map<string, Map<string, number>>();

	add(name: string, labels: string, by = 1): void {
		let counts = this.#counts.get(name);
		if (counts === undefined) {
			counts = new Map();
			this.#counts.set(name, counts);
		}

		counts.set(labels, (counts.get(labels) ?? 0) + by);
	}

	/** All counts since the start. */
	entries(): Array<{name: string; labels: string; count: number}> {
		return [...this.#counts].flatMap(([name, counts]) =>
			[...counts].map(([labels, count]) => ({name, labels, count})));
	}

	total(name: string): number {
		let total = 0;
		for (const count of this.#counts.get(name)?.values() ?? []) {
			total += count;
		}

		return total;
	}
}

/** The time, randomness and outputs of the step that is being taken. */
export class CoreContext {
	nowMs: number;
	/**
	 * How long this process may have been paused before the input at hand, in ms.
	 * What is read then may have waited in a socket for as long.
	 */
	pausedMs = 0;
	readonly counters = new Counters();
	readonly #random: ReturnType<typeof xoroshiro128plus>;
	#outputs: Output[] = [];

	constructor(seed: number, startMs: number) {
		this.#random = xoroshiro128plus(seed);
		this.nowMs = startMs;
	}

	emit(output: Output): void {
		this.#outputs.push(output);
	}

	log(event: string, fields: Readonly<Record<string, string | number | boolean>>): void {
		this.#outputs.push({type: 'log', event, fields});
	}

	/** Uniform in [0, 1). */
	random(): number {
		return (this.#random.next() >>> 0) / UINT32_RANGE;
	}

	/** Takes what was emitted since the last call. */
	takeOutputs(): Output[] {
		const outputs = this.#outputs;
		this.#outputs = [];
		return outputs;
	}
}
