import {type SentRequest} from './callers.js';
import {type Receipt, type SoakRecord, type Violation} from './checks.js';
import {CONFIG_MS, GRACE_MS} from './fleet.js';
import {decodeWork} from './work.js';

/** How long after its last byte a request may cross the close of its connection, in ms. */
const LOSS_SLACK_MS = 200;
/** For how long before a request nothing unplanned may have happened to its daemons, in ms. */
const CONTACT_MS = 3000;
/** How long after the grace period what happens still counts to the stop, in ms. */
const AFTER_GRACE_MS = 1000;
/** A request that was sent by then may be cut if its target is at work in the last part of the grace period. */
const SENT_IN_TIME_MS = 3000;
const LAST_PART = 1 / 6;
/** How long after a daemon stood still its end is excused, in ms. */
const AFTER_FREEZE_MS = 1000;
/** Errors of a connection that no daemon has accepted. */
const REFUSED = 'ECONNREFUSED';

/** Finds requests that a daemon has accepted, and whose connection ended before any part of an answer. */
export function * checkAnswered({requests, begunAttemptIds, history}: SoakRecord): Iterable<Violation> {
	const begun = new Set(begunAttemptIds);
	for (const request of requests) {
		const {
			attemptId, status, error, host, sentMs, endedMs, deadlineMs, lastByteMs, isBehind, isOnUsedConnection,
		} = request;
		const isExcused = error === REFUSED || history.isDisturbed(['killed'], sentMs, endedMs, host)
			// A process that stood still has less of its grace left.
			|| (history.isDisturbed(['stopped'], sentMs, endedMs, host) && history.isDisturbed(['frozen'], sentMs - CONFIG_MS, endedMs, host));
		// Without its last byte a request can't have been read; on a connection that is used until it is closed, one may cross the close.
		const isRead = lastByteMs !== undefined && (isBehind === undefined || begun.has(attemptId) || (!isBehind && endedMs > lastByteMs + LOSS_SLACK_MS));
		// An answer before it that is cut at its deadline resets the connection.
		const isOver = isBehind !== undefined && endedMs - sentMs >= deadlineMs;
		if (status === 0 && isRead && !isOver && !isExcused) {
			yield {promise: 'every accepted request is answered', attemptId, detail: `${String(error)} after ${endedMs - sentMs} ms at host ${host}${isOnUsedConnection ? ', on a kept connection' : ''}${begun.has(attemptId) ? ', passed on to a target' : ''}`};
		}
	}
}

/** Finds answers that are wrong, end early without an excuse, or take the place of one at which a target was at work when its daemon was told to stop. */
export function * checkAnswers(record: SoakRecord): Iterable<Violation> {
	const runsById = new Map<string, Receipt[]>();
	for (const receipt of record.receipts.filter(({hasRun}) => hasRun)) {
		runsById.set(receipt.attemptId, [...(runsById.get(receipt.attemptId) ?? []), receipt]);
	}

	for (const request of record.requests) {
		const {attemptId, path, status, answeredAttemptId, isWhole, isRight, host, sentMs, endedMs} = request;
		const runs = runsById.get(attemptId) ?? [];
		if ((status === 200 && answeredAttemptId !== attemptId) || !isRight) {
			yield {promise: 'right answer', attemptId, detail: `got ${isRight ? `the answer of ${String(answeredAttemptId)}` : 'other bytes than the target\'s'}`};
		}

		if (status !== 0 && (status < 200 || status > 599)) {
			yield {promise: 'right answer', attemptId, detail: `got the status ${status}`};
		}

		const isTransfer = decodeWork(path) !== undefined;
		if (status !== 0 && !isWhole && !(isTransfer && mayBreakOff(record, request, runs))) {
			yield {promise: 'whole answer', attemptId, detail: `${status} broke off after ${endedMs - sentMs} ms at host ${host}`};
		}

		const isReplaced = status >= 500 && isWhole && !request.isSigned && runs.some(({end}) => end?.outcome === 'broken-off');
		if (isReplaced && record.history.stopsAround(endedMs, GRACE_MS + AFTER_GRACE_MS, [host]).length > 0 && !mayBreakOff(record, request, runs)) {
			yield {promise: 'a stop breaks no run off', attemptId, detail: `got ${status} after ${endedMs - sentMs} ms at host ${host}, a target was at work on it`};
		}
	}
}

/** Finds bodies that targets ran though they aren't what the client sent. */
export function * checkBodies({requests, receipts}: SoakRecord): Iterable<Violation> {
	const digests = new Map(requests.map(({attemptId, bodyDigest}) => [attemptId, bodyDigest]));
	for (const {attemptId, bodyDigest, hasRun} of receipts) {
		if (hasRun && bodyDigest !== undefined && digests.has(attemptId) && bodyDigest !== digests.get(attemptId)) {
			yield {promise: 'nothing runs unasked', attemptId, detail: 'ran with another body'};
		}
	}
}

/** Finds daemons that ended though nothing had told them to. */
export function * checkOwnEnds({history}: SoakRecord): Iterable<Violation> {
	for (const {host, atMs, how} of history.ownEnds) {
		if (!history.isDisturbed(['frozen'], atMs - AFTER_FREEZE_MS, atMs, host)) {
			yield {promise: 'a daemon ends only when told to', detail: `host ${host} ended with ${how}`};
		}
	}
}

/** Whether an answer may end early: its target or its deadline ended it, a daemon on its way was killed, that of its target stood still, or the grace period of one ends. */
function mayBreakOff({history}: SoakRecord, {
	host, sentMs, endedMs, deadlineMs, lastByteMs,
}: SentRequest, runs: readonly Receipt[]): boolean {
	const owners = runs.map(run => run.host);
	const hosts = [host, ...owners];
	if (endedMs - sentMs >= deadlineMs || runs.some(({end}) => end?.outcome === 'crashed' || end?.outcome === 'cut')) {
		return true;
	}

	const isDisturbed = (how: 'killed' | 'frozen') => (one: number) => history.isDisturbed([how], sentMs - CONTACT_MS, endedMs, one);
	if (hosts.some(isDisturbed('killed')) || owners.some(isDisturbed('frozen'))) {
		return true;
	}

	const lastWorkMs = Math.max(...runs.map(({end}) => end?.endedMs ?? endedMs));
	return lastByteMs !== undefined && history.stopsAround(endedMs, GRACE_MS + AFTER_GRACE_MS, hosts).some(({fromMs}) => lastByteMs <= fromMs + SENT_IN_TIME_MS && lastWorkMs >= fromMs + (GRACE_MS * (1 - LAST_PART)));
}
