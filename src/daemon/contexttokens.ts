import {randomBytes} from 'node:crypto';

const PREFIX_BYTES = 6;

/**
 * Encodes and decodes the values of the context header. A value identifies a run
 * of this process only: the random prefix makes a value from before a restart invalid.
 */
export class ContextTokens {
	readonly #prefix = randomBytes(PREFIX_BYTES).toString('hex');

	encode(runId: number): string {
		return `${this.#prefix}-${runId}`;
	}

	/** Returns the id of the run that a value identifies, or -1 if another process wrote the value. */
	decode(value: string): number {
		const [prefix, id] = value.split('-', 2);
		return prefix === this.#prefix && /^\d{1,15}$/v.test(id ?? '') ? Number(id) : -1;
	}
}
