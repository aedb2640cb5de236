import {type Quarantine} from './quarantine.js';

/** A run that was lost at a crash. */
export type LostRequest = {
	/** The fingerprint of its request. */
	readonly request: string;
	readonly attemptId: string;
	/** How long it had run, in ms. */
	readonly ranMs: number;
};

/** The one request in flight at a crash that may be why. */
export type Inquiry = {
	readonly request: string;
	/** An attempt of it that was running. */
	readonly attemptId: string;
	/** How long the longest of its runs had lasted, in ms. */
	readonly ranMs: number;
	/** The number of other runs that were lost. */
	readonly others: number;
};

/** The number of crashes that a held request counts as. */
const HELD_RANK = 1_000_000;
/** By how many crashes a suspect must be ahead of every other request in flight, if another was in flight at a crash before. */
const LEAD = 2;

/**
 * Finds the one suspect among the runs that were lost at a crash; undefined if there is none, or if another of the
 * requests may just as well be why.
 * @param parentOf returns the id of the attempt that a nested call belongs to
 */
export function findSingleSuspect(lost: readonly LostRequest[], quarantine: Quarantine, parentOf: (attemptId: string) => string | undefined, nowMs: number): Inquiry | undefined {
	// A run that waits for another run here does nothing itself.
	const waiting = new Set(lost.map(({attemptId}) => parentOf(attemptId)));
	const active = lost.filter(({attemptId}) => !waiting.has(attemptId));
	const [first, second] = rankByCrashes(active, quarantine);
	if (first === undefined || quarantine.verdictOf(first.request, nowMs) === 'pass') {
		return undefined;
	}

	if (second !== undefined && second.crashes > 0 && second.crashes + LEAD > first.crashes) {
		return undefined;
	}

	const {request} = first;
	const runs = active.filter(run => run.request === request);
	return {
		request, attemptId: runs[0].attemptId, ranMs: Math.max(...runs.map(({ranMs}) => ranMs)), others: active.length - runs.length,
	};
}

// Those that are held come first.
function rankByCrashes(runs: readonly LostRequest[], quarantine: Quarantine): Array<{readonly request: string; readonly crashes: number}> {
	const requests = [...new Set(runs.map(({request}) => request))];
	return requests.map(request => ({request, crashes: quarantine.isHeld(request) ? HELD_RANK : quarantine.crashesOf(request)})).toSorted((a, b) => b.crashes - a.crashes);
}
