/** What an operator needs to recognise a request that is held back. */
export type HeldRequest = {
	readonly route: string;
	readonly method: string;
	/** The beginning of its path. */
	readonly path: string;
	readonly caller: string;
	/** The attempt that was running at the crash that gave the proof. */
	readonly attemptId: string;
};

/** What daemons tell each other of a request that crashes targets, or that no longer does. */
export type Hold = {
	/** The fingerprint of the request. */
	readonly request: string;
	/** Counts the changes; a higher one replaces a lower one, in whatever order they are heard. */
	readonly generation: number;
	readonly isHeld: boolean;
	/** How often it was proved to crash targets. */
	readonly strikes: number;
	/** How long it is still refused, in ms; after that it is tried. */
	readonly leftMs: number;
	readonly subject: HeldRequest;
};

/** How often the time for which a request is refused doubles at most. */
const MAX_DOUBLINGS = 3;

/** How long a request is refused after this many proofs, in ms. @param firstMs the same after the first */
export function holdMs(strikes: number, firstMs: number): number {
	return firstMs * (2 ** Math.min(strikes - 1, MAX_DOUBLINGS));
}

/** The longest time for which a request is refused, in ms. */
export function maxHoldMs(firstMs: number): number {
	return firstMs * (2 ** MAX_DOUBLINGS);
}

/** Whether a hold replaces another: by its generation; of two that daemons made at the same time, the stricter one. */
export function replaces(next: Hold, known: Hold): boolean {
	if (next.generation !== known.generation) {
		return next.generation > known.generation;
	}

	return next.isHeld === known.isHeld ? next.strikes > known.strikes : next.isHeld;
}
