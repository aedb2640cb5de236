/** A request that can't be read, with the field at fault. */
export class RequestError extends Error {
	override readonly name = 'RequestError';
	readonly status: number;

	constructor(status: number, message: string) {
		super(message);
		this.status = status;
	}
}
