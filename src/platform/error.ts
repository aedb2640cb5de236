/** The platform refused a request, was unreachable, or sent an unexpected response. */
export class PlatformError extends Error {
	override readonly name = 'PlatformError';
	/** The HTTP status, or 0 if there was no usable response. */
	readonly status: number;

	constructor(status: number, message: string, cause?: unknown) {
		super(message, {cause});
		this.status = status;
	}

	/** Whether the request may have taken effect despite the error: there was no response, or the platform failed. */
	get mayHaveTakenEffect(): boolean {
		return this.status === 0 || this.status >= 500;
	}
}
