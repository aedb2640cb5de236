/** The store rejected a request, can't be reached, or sent a malformed answer. A `refused` request was not carried out; an `unavailable` one may have been. */
export class StoreError extends Error {
	override readonly name = 'StoreError';
	readonly kind: 'refused' | 'unavailable' | 'conflict' | 'missing' | 'compacted' | 'malformed';

	constructor(kind: StoreError['kind'], message: string, cause?: unknown) {
		super(message, {cause});
		this.kind = kind;
	}
}

/** External input is invalid; `message` names the field and the reason. */
export class DecodeError extends Error {
	override readonly name = 'DecodeError';
}
