import {describe, expect, it} from 'vitest';
import {afterSockets} from '../../src/clock/index.js';
import {holdUp} from '../../standins/holdup.js';

/** Longer than a turn of the event loop takes that isn't held up. */
const HOLD_UP_MS = 40;

/** Holds the process up in so many turns, in each after its sockets were read. @returns the turn in which what is late is judged */
async function judgedInTurn(heldUpTurns: number): Promise<number> {
	return new Promise(resolve => {
		let turn = 0;
		const passTurn = () => {
			turn++;
			if (turn <= heldUpTurns) {
				setImmediate(passTurn);
				holdUp(HOLD_UP_MS);
			}
		};

		setTimeout(() => {
			setImmediate(passTurn);
			afterSockets(() => {
				resolve(turn);
			});
		});
	});
}

describe('a process that is held up', () => {
	// Guards against answers that came in time and count as late: the process was held up a second time, after it had read its sockets and before it judged.
	it.each([0, 1, 2, 3])('judges what is late only in a turn in which it wasn\'t: %i turns', async turns => {
		expect(await judgedInTurn(turns)).toBeGreaterThan(turns);
	});

	it('judges in the end if it is held up in each turn', async () => {
		expect(await judgedInTurn(1000)).toBeLessThan(10);
	});
});
