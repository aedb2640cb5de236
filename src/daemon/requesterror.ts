/** Reports a malformed request. The message begins with the invalid field. */
export class RequestError extends Error {
	override readonly name = 'RequestError';
	/** The HTTP status of the response. */
	readonly status: number;

	constructor(status: number, message: string) {
		super(message);
		this.status = status;
	}
}
