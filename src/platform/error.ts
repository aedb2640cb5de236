/** The platform has refused, can't be reached, or answered something else than promised. */
export class PlatformError extends Error {
	override readonly name = 'PlatformError';
	/** The HTTP status, or 0 when no answer came. */
	readonly status: number;

	constructor(status: number, message: string, cause?: unknown) {
		super(message, {cause});
		this.status = status;
	}

	/** Whether the request may have taken effect all the same. */
	get mayHaveTakenEffect(): boolean {
		return this.status === 0 || this.status >= 500;
	}
}
