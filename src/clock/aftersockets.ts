import {performance} from 'node:perf_hooks';

/** How long a turn of the event loop takes if nothing holds the process up, in ms. */
const MAX_TURN_MS = 20;

/**
 * Calls a function that judges what is late once the sockets have been read: if this process itself was held up, what arrived meanwhile
 * is known by then. Must be called from a timer.
 */
export function afterSockets(judge: () => void): void {
	const calledMs = performance.now();
	setImmediate(() => {
		// If the process was held up in this turn, that may have been after its sockets were read.
		if (performance.now() - calledMs > MAX_TURN_MS) {
			setImmediate(judge);
		} else {
			judge();
		}
	});
}
