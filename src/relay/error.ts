/** The store has refused, can't be reached, or answered something else than promised. */
export class StoreError extends Error {
	override readonly name = 'StoreError';
	readonly kind: 'unavailable' | 'conflict' | 'missing' | 'compacted' | 'malformed';

	constructor(kind: StoreError['kind'], message: string, cause?: unknown) {
		super(message, {cause});
		this.kind = kind;
	}
}

/** Something from outside that can't be read; `message` names the field and the reason. */
export class DecodeError extends Error {
	override readonly name = 'DecodeError';
}
