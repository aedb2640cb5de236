import {performance} from 'node:perf_hooks';

/** How long a turn of the event loop takes if nothing holds the process up, in ms. */
const MAX_TURN_MS = 20;
/** After how many turns a process that is held up in each of them judges all the same. */
const MAX_TURNS = 5;

/**
 * Calls a function that judges what is late once the sockets have been read: if this process itself was held up, what arrived meanwhile
 * is known by then. Must be called from a timer.
 */
export function afterSockets(judge: () => void): void {
	judgeAfterTurn(judge, 1);
}

function judgeAfterTurn(judge: () => void, turn: number): void {
	const calledMs = performance.now();
	setImmediate(() => {
		// If the process was held up in this turn, that may have been after its sockets were read.
		if (performance.now() - calledMs > MAX_TURN_MS && turn < MAX_TURNS) {
			judgeAfterTurn(judge, turn + 1);
		} else {
			judge();
		}
	});
}
