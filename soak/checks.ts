import {type RequestEnd} from '../standins/meshtarget.js';
import {type SentRequest} from './callers.js';
import {
	CONFIG_MS, DRAIN_MS, MAX_AGE_MS, QUOTA_ROOM,
} from './fleet.js';
import {type History} from './history.js';
import {
	checkAnswered, checkAnswers, checkBodies, checkOwnEnds,
} from './losses.js';
import {DEADLY_PATH, LIMITED} from './plan.js';
import {UPLOAD_PREFIX, isPublic} from './work.js';

/** A request that a target received; `hasRun` is false for one that it shed. */
export type Receipt = {
	readonly attemptId: string; readonly path: string; readonly callerService: string; readonly organisation: string | undefined; readonly hasAuthorization: boolean; readonly atMs: number; readonly hasRun: boolean;
	readonly host: number;
	/** How it ended; absent if it is still open. */
	readonly end?: RequestEnd;
	/** The digest of the body of an upload. */
	readonly bodyDigest?: string;
};

/** What callers and targets saw in a run, and what was done to the site. */
export type SoakRecord = {
	readonly requests: readonly SentRequest[];
	readonly receipts: readonly Receipt[];
	/** The requests whose heads reached a target. */
	readonly begunAttemptIds: readonly string[];
	readonly history: History;
	readonly isStrict: boolean;
	/** The paths of the requests that daemons began to hold, because these crash targets. */
	readonly heldPaths: readonly string[];
	/** The end of the run, after the faults: since when nothing is disturbed, and when the requests end. */
	readonly calmFromMs: number;
	readonly calmUntilMs: number;
};

/** A promise that was broken, and the request that shows it, if it is one. */
export type Violation = {readonly promise: string; readonly detail: string; readonly attemptId?: string};

/** What says that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([401, 408, 421, 429, 503]);

type Check = (record: SoakRecord) => Iterable<Violation>;

/** What a busy machine may add to a bound, in ms. */
const MARGIN_MS = 1000;
/** The part of its limit that an organisation must get while nothing is disturbed, and the part of the small ones' requests that are answered. */
const MIN_USED_PART = 0.7;
const MIN_SMALL_PART = 0.8;
/** How long daemons may still send a request that has crashed three targets, in ms, and how often after that. */
const CONTACT_MS = 3000;
const MAX_LATE_RETRIES = 3;
const UNREPEATABLE = /^\/(?:orders|page|upload)\//v;

const isRoot = (attemptId: string) => !attemptId.includes('.');

function * checkOnce({receipts}: SoakRecord): Iterable<Violation> {
	const runs = new Map<string, number>();
	for (const {attemptId, path, hasRun} of receipts) {
		if (hasRun && UNREPEATABLE.test(path)) {
			runs.set(attemptId, (runs.get(attemptId) ?? 0) + 1);
		}
	}

	for (const [attemptId, count] of runs) {
		if (count > 1) {
			yield {promise: 'at most once', attemptId, detail: `ran ${count} times`};
		}
	}
}

function * checkNotRun({requests, receipts}: SoakRecord): Iterable<Violation> {
	const ran = new Set(receipts.filter(({hasRun}) => hasRun).map(({attemptId}) => attemptId));
	for (const {attemptId, status, isNotRun} of requests) {
		if (ran.has(attemptId) && (isNotRun || NOT_RUN_STATUSES.has(status))) {
			yield {promise: 'has not run', attemptId, detail: `${status} said so, and it ran`};
		}
	}
}

function * checkKeys({requests, receipts, history, isStrict}: SoakRecord): Iterable<Violation> {
	const organisations = new Map(receipts.filter(({attemptId, hasRun}) => hasRun && isRoot(attemptId)).map(({attemptId, organisation}) => [attemptId, organisation]));
	for (const {attemptId, key, path, status, sentMs, endedMs} of requests) {
		const staleMs = history.staleSince(sentMs, CONFIG_MS + MARGIN_MS);
		const holders = key === undefined ? new Set([undefined]) : history.holdersOf(key, staleMs, endedMs);
		if (status === 401 && (!holders.has(undefined) || isPublic(path))) {
			yield {promise: '401 only without a known key', attemptId, detail: `its key was held by ${[...holders].join(', ')}`};
		}

		const confirmed = key !== undefined && isStrict ? history.holdersOf(key, Math.max(staleMs, sentMs - MAX_AGE_MS - MARGIN_MS), endedMs) : holders;
		if (organisations.has(attemptId) && !confirmed.has(organisations.get(attemptId))) {
			yield {promise: 'withdrawn keys aren\'t in use', attemptId, detail: `ran for ${String(organisations.get(attemptId))}, its key was held by ${[...confirmed].map(String).join(', ')}`};
		}

		if (organisations.has(attemptId) && organisations.get(attemptId) === undefined && !isPublic(path)) {
			yield {promise: 'nothing runs unasked', attemptId, detail: 'ran for nobody'};
		}
	}

	for (const {attemptId, hasAuthorization} of receipts) {
		if (hasAuthorization) {
			yield {promise: 'no key reaches a target', attemptId, detail: 'its Authorization header did'};
		}
	}
}

function * checkRefusals({requests, history}: SoakRecord): Iterable<Violation> {
	for (const {attemptId, key, status, retryAfter, sentMs, endedMs} of requests) {
		if (status === 429) {
			const holders = key === undefined ? new Set() : history.holdersOf(key, history.staleSince(sentMs, CONFIG_MS + MARGIN_MS), endedMs);
			if (!holders.has(LIMITED)) {
				yield {promise: '429 only above a quota', attemptId, detail: `its key was held by ${[...holders].map(String).join(', ')}`};
			}

			if (retryAfter === undefined) {
				yield {promise: '429 says when to come back', attemptId, detail: 'it had no Retry-After'};
			}
		}
	}
}

/** The most requests that the limits of this time allow in one window. */
export function allowedInWindow(history: History, fromMs: number, untilMs: number): number {
	const ratesPerS = history.sitesBetween(history.staleSince(fromMs, CONFIG_MS + MARGIN_MS), untilMs).map(({organisations}) => organisations.find(({name}) => name === LIMITED)!);
	const most = Math.max(...ratesPerS.map(({ratePerS, burst}) => (ratePerS! * QUOTA_ROOM.windowMs / 1000) + burst));
	return (most * (1 + QUOTA_ROOM.over)) + QUOTA_ROOM.slack;
}

function * checkQuota({receipts, history}: SoakRecord): Iterable<Violation> {
	const firstMs = new Map<string, number>();
	for (const {attemptId, organisation, atMs, hasRun} of receipts) {
		if (hasRun && organisation === LIMITED && isRoot(attemptId)) {
			firstMs.set(attemptId, Math.min(firstMs.get(attemptId) ?? atMs, atMs));
		}
	}

	const times = [...firstMs.values()].toSorted((a, b) => a - b);
	let first = 0;
	for (const [index, timeMs] of times.entries()) {
		while (times[first] <= timeMs - QUOTA_ROOM.windowMs) {
			first++;
		}

		const allowed = allowedInWindow(history, times[first], timeMs);
		if (index - first + 1 > allowed) {
			yield {promise: 'quota in any window', detail: `${index - first + 1} requests ran from ${times[first]} to ${timeMs}, ${allowed} may`};
			return;
		}
	}
}

function * checkRecovery({requests, calmFromMs, calmUntilMs, history}: SoakRecord): Iterable<Violation> {
	const calm = requests.filter(({sentMs}) => sentMs >= calmFromMs);
	const served = (stream: string) => calm.filter(one => one.stream === stream && one.status === 200).length;
	const limit = history.sites.at(-1)!.organisations.find(({name}) => name === LIMITED)!;
	const usable = limit.ratePerS! * (calmUntilMs - calmFromMs) / 1000;
	if (served(LIMITED) < usable * MIN_USED_PART) {
		yield {promise: 'a quota can be used', detail: `${served(LIMITED)} served of ${usable} that the limit allows after the faults`};
	}

	for (const stream of ['small-a', 'small-b']) {
		const sent = calm.filter(one => one.stream === stream).length;
		if (served(stream) < sent * MIN_SMALL_PART) {
			yield {promise: 'a hot organisation starves nobody', detail: `${served(stream)} of ${sent} requests of ${stream} were served after the faults`};
		}
	}
}

function * checkPoison({receipts, history, heldPaths}: SoakRecord): Iterable<Violation> {
	const runs = receipts.filter(({path, hasRun}) => path === DEADLY_PATH && hasRun).toSorted((a, b) => a.atMs - b.atMs);
	// With another caller it is another request.
	const callers = new Set(runs.map(({callerService}) => callerService));
	for (const {fromMs, untilMs} of history.poisons) {
		for (const caller of callers) {
			const during = runs.filter(({callerService, atMs}) => callerService === caller && atMs >= fromMs && atMs <= untilMs).map(({atMs}) => atMs);
			const late = during.filter(atMs => atMs > during[2] + CONTACT_MS);
			if (late.length > MAX_LATE_RETRIES) {
				yield {promise: 'a request that crashes targets is kept from them', detail: `from ${caller} it ran ${late.length} times later than ${CONTACT_MS} ms after its third run, at ${late.map(atMs => atMs - fromMs).join(', ')} ms`};
			}
		}
	}

	for (const path of heldPaths.filter(one => one !== DEADLY_PATH)) {
		yield {promise: 'no sound request is held', detail: path};
	}
}

/** Finds requests that reached a draining target late, whatever became of its daemon meanwhile. Uploads take their time. */
function * checkDrains({receipts, history}: SoakRecord): Iterable<Violation> {
	for (const {host, acknowledgedMs, untilMs} of history.drains) {
		for (const receipt of receipts) {
			const lateMs = receipt.atMs - acknowledgedMs;
			if (receipt.host === host && lateMs > DRAIN_MS && receipt.atMs < untilMs && !receipt.path.startsWith(UPLOAD_PREFIX)) {
				yield {promise: 'a draining target gets nothing after the drain time', attemptId: receipt.attemptId, detail: `reached host ${host} ${lateMs} ms after the acknowledgement`};
			}
		}
	}
}

/** All checks of a run. */
export const CHECKS: readonly Check[] = [checkOnce, checkAnswers, checkNotRun, checkAnswered, checkBodies, checkOwnEnds, checkKeys, checkRefusals, checkQuota, checkRecovery, checkPoison, checkDrains];

/** Checks what callers and targets saw against the promises. */
export function findViolations(record: SoakRecord): Violation[] {
	return CHECKS.flatMap(check => [...check(record)]);
}
