import {type HeldRequest} from './hold.js';
import {type LostRequest, findSingleSuspect} from './inquiry.js';
import {type CrashFinding, type Quarantine, type SingleSuspect} from './quarantine.js';

/** A run that was lost at a crash, with what an operator needs to recognise its request. */
export type LostRun = LostRequest & {readonly subject: HeldRequest};

/** A crash of the target beside this daemon. */
export type Crash = {
	/** Chosen at random. */
	readonly id: number;
	readonly service: string;
	/** The start of the target, as `startOf` names it. */
	readonly start: string;
	readonly lost: readonly LostRun[];
	/** The fingerprints of requests that this start of the target has answered. */
	readonly answered: ReadonlySet<string>;
	/** The runs that the target has answered lately, where single lost connections can look like crashes. */
	readonly servedRuns?: number;
	/** How many targets serve the service. */
	readonly targets: number;
	/** Returns the id of the attempt that a nested call belongs to. */
	readonly parentOf: (attemptId: string) => string | undefined;
};

/** What a daemon concludes from a crash, and of which request. */
export type CrashJudgement = CrashFinding & {readonly suspect: SingleSuspect | undefined};

/** Concludes from a crash which request may be why, and whether it is held from now on. */
export function judgeCrash(quarantine: Quarantine, {lost, answered, servedRuns, targets, parentOf, ...crash}: Crash, nowMs: number): CrashJudgement {
	const possible = lost.filter(({request}) => !answered.has(request));
	const inquiry = findSingleSuspect(possible, quarantine, parentOf, nowMs);
	const found = possible.find(({attemptId}) => attemptId === inquiry?.attemptId);
	const suspect = inquiry && found && {...inquiry, subject: found.subject, lostShare: lostShareWithout(inquiry.request, quarantine, crash.start, servedRuns)};
	return {suspect, ...quarantine.concludeCrash({...crash, requests: possible.map(({request}) => request)}, suspect, targets, nowMs)};
}

function lostShareWithout(request: string, quarantine: Quarantine, start: string, servedRuns: number | undefined): number {
	const crashes = quarantine.crashesWithout(request, start);
	return servedRuns === undefined || crashes === 0 ? 0 : crashes / (crashes + servedRuns);
}
