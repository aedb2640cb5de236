import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Output} from './message.js';

const UINT32_RANGE = 0x1_00_00_00_00;

/** Counters, each identified by its name and its label values, which are joined with `|`. */
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

	/** Returns all counts since the daemon started. */
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

/** The time, the random numbers and the collected outputs of the current step, shared by all parts of the core. */
export class CoreContext {
	nowMs: number;
	/**
	 * How long the process may have been paused before the current input, in ms.
	 * Data that is read after a pause may have waited in a socket for that long.
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

	/** Returns a random number, uniform in [0, 1). */
	random(): number {
		return (this.#random.next() >>> 0) / UINT32_RANGE;
	}

	/** Returns the outputs emitted since the last call, and clears them. */
	takeOutputs(): Output[] {
		const outputs = this.#outputs;
		this.#outputs = [];
		return outputs;
	}
}
