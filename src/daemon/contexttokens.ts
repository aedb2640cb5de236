import {randomBytes} from 'node:crypto';

const PREFIX_BYTES = 6;

/**
 * Makes and reads the values of the context header. A value names running work
 * of this process only, so one that survives a restart means nothing.
 */
export class ContextTokens {
	readonly #prefix = randomBytes(PREFIX_BYTES).toString('hex');

	encode(workId: number): string {
		return `${this.#prefix}-${workId}`;
	}

	/** The running work that a value names; -1 for one that isn't this process's. */
	decode(value: string): number {
		const [prefix, id] = value.split('-', 2);
		return prefix === this.#prefix && /^\d{1,15}$/v.test(id ?? '') ? Number(id) : -1;
	}
}
