import {type HeaderNames} from '../adapter.js';

/** The most names that are reported, so that a target that makes up names fills neither memory nor log. */
const MAX_REPORTED = 20;

/** Finds headers in a target's answers that the platform defines and that nothing here reads. */
export class UnknownHeaders {
	readonly #prefixes: readonly string[];
	readonly #known: ReadonlySet<string>;
	readonly #reported = new Set<string>();

	constructor(names: HeaderNames, prefixes: readonly string[]) {
		this.#prefixes = prefixes;
		this.#known = new Set(Object.values(names));
	}

	/** @returns whether the header is such a one and wasn't reported before */
	shouldReport(name: string): boolean {
		if (!this.#prefixes.some(prefix => name.startsWith(prefix)) || this.#known.has(name) || this.#reported.has(name) || this.#reported.size >= MAX_REPORTED) {
			return false;
		}

		this.#reported.add(name);
		return true;
	}
}
