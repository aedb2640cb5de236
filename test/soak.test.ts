import {Agent, request as httpRequest} from 'node:http';
import {describe, expect, it} from 'vitest';
import {type SentRequest} from '../soak/callers.js';
import {type Receipt, type SoakRecord, findViolations} from '../soak/checks.js';
import {DRAIN_MS} from '../soak/fleet.js';
import {History} from '../soak/history.js';
import {DEADLY_PATH, USUAL_ORGANISATIONS, createPlan} from '../soak/plan.js';
import {SoakTarget} from '../soak/target.js';
import {meshHeaders} from '../standins/meshadapter.js';
import {type RequestEnd} from '../standins/meshtarget.js';

const BEGIN_MS = 1_000_000;
const CALM_MS = BEGIN_MS + 50_000;
const AFTER_MS = 20_000;

const request = (attemptId: string, more: Partial<SentRequest> = {}): SentRequest => ({
	attemptId, stream: 'hot', path: '/orders/', key: 'key-hot-0', host: 1, sentMs: BEGIN_MS + AFTER_MS, endedMs: BEGIN_MS + AFTER_MS + 50, status: 200, isWhole: true, isNotRun: false, answeredAttemptId: attemptId, retryAfter: undefined, isOnUsedConnection: false, deadlineMs: 4500, lastByteMs: BEGIN_MS + AFTER_MS, isSigned: true, isRight: true, ...more,
});
const receipt = (attemptId: string, more: Partial<Receipt> = {}): Receipt => ({
	attemptId, path: '/orders/', callerService: 'front', organisation: 'hot', hasAuthorization: false, atMs: BEGIN_MS + AFTER_MS + 10, hasRun: true, host: 2, ...more,
});

/** A run in which all went well: also the part after the faults. */
function createRecord(requests: readonly SentRequest[] = [], receipts: readonly Receipt[] = [], more: Partial<SoakRecord> = {}): SoakRecord {
	const history = new History();
	history.sites.push({atMs: BEGIN_MS, organisations: USUAL_ORGANISATIONS});
	const calm = ['limited', 'small-a', 'small-b'].flatMap(stream => Array.from({length: 60}, (_, index) => request(`${stream}-${index}`, {
		stream, key: `key-${stream}-0`, sentMs: CALM_MS + index, endedMs: CALM_MS + index + 9,
	})));
	return {
		requests: [...requests, ...calm], receipts, begunAttemptIds: receipts.map(({attemptId}) => attemptId), history, isStrict: true, heldPaths: [], calmFromMs: CALM_MS, calmUntilMs: CALM_MS + 4000, ...more,
	};
}

const brokenBy = (record: SoakRecord) => new Set(findViolations(record).map(({promise}) => promise));
const refused = (status: number, more: Partial<SentRequest> = {}) => request('r', {status, answeredAttemptId: undefined, ...more});

/** Writes a site in which nobody holds the key. */
function withdraw(record: SoakRecord, key: string, atMs: number): SoakRecord {
	record.history.sites.push({atMs, organisations: USUAL_ORGANISATIONS.map(organisation => ({...organisation, keys: organisation.keys.filter(one => one !== key)}))});
	return record;
}

function poison(record: SoakRecord): SoakRecord {
	record.history.poisons.push({fromMs: BEGIN_MS, untilMs: CALM_MS});
	return record;
}

/** Adds a SIGTERM of a host, so many ms before the usual request. */
function stop(record: SoakRecord, host: number, beforeMs: number): SoakRecord {
	record.history.disturbances.push({
		fromMs: BEGIN_MS + AFTER_MS - beforeMs, untilMs: BEGIN_MS + AFTER_MS + 9000, what: 'stopped', host,
	});
	return record;
}

const pipelined = (more: Partial<SentRequest> = {}) => refused(0, {
	stream: 'pipelined', path: '/kept/5-1-10-0-1', isWhole: false, isBehind: false, endedMs: BEGIN_MS + AFTER_MS + 150, ...more,
});
const upload = (more: Partial<SentRequest> = {}) => request('r', {path: '/upload/5-1-20-0-1', bodyDigest: 'sent', ...more});
const cutStream = (more: Partial<SentRequest> = {}) => request('r', {
	path: '/stream/5-20-10007-50-1', isWhole: false, endedMs: BEGIN_MS + AFTER_MS + 3000, ...more,
});
const run = (path: string, outcome: RequestEnd['outcome'], endedAfterMs = 3000, more: Partial<Receipt> = {}) => receipt('r', {path, end: {endedMs: BEGIN_MS + AFTER_MS + endedAfterMs, outcome}, ...more});
const cutRun = (outcome: RequestEnd['outcome'], endedAfterMs?: number) => run('/stream/5-20-10007-50-1', outcome, endedAfterMs);
const replaced = (more: Partial<SentRequest> = {}) => refused(502, {
	path: '/kept/400-1-10-0-1', isSigned: false, endedMs: BEGIN_MS + AFTER_MS + 3000, ...more,
});
const replacedRun = (endedAfterMs = 3000, outcome: RequestEnd['outcome'] = 'broken-off') => run('/kept/400-1-10-0-1', outcome, endedAfterMs);

/** Has the target of the usual receipt drain, with the receipt so long after the acknowledgement. */
function drain(lateMs: number, more: Partial<Receipt> = {}): SoakRecord {
	const record = createRecord([request('r')], [receipt('r', more)]);
	const acknowledgedMs = BEGIN_MS + AFTER_MS + 10 - lateMs;
	record.history.drains.push({host: 2, acknowledgedMs, untilMs: acknowledgedMs + 5000});
	return record;
}

function endAlone(record: SoakRecord, afterMs: number): SoakRecord {
	record.history.disturbances.push({
		fromMs: BEGIN_MS, untilMs: BEGIN_MS + AFTER_MS, what: 'frozen', host: 1,
	});
	record.history.ownEnds.push({host: 1, atMs: BEGIN_MS + AFTER_MS + afterMs, how: 'SIGHUP'});
	return record;
}

describe('a plan', () => {
	it('is the same for the same seed, and another for another', () => {
		expect(createPlan(5, 8000)).toEqual(createPlan(5, 8000));
		expect(createPlan(5, 8000)).not.toEqual(createPlan(6, 8000));
	});

	it('plays all kinds of events and both ways of revocation within a few seeds', () => {
		const plans = Array.from({length: 20}, (_, seed) => createPlan(seed, 8000));
		expect(new Set(plans.flatMap(({events}) => events.map(({type}) => type)))).toEqual(new Set(['daemon', 'store', 'site', 'target', 'poison', 'heat']));
		expect(new Set(plans.map(({isStrict}) => isStrict))).toEqual(new Set([true, false]));
	});
});

describe('a target of the soak', () => {
	it('tells an answer without a length on a used connection from one on a new connection', async () => {
		const target = new SoakTarget({
			id: 'i', service: 'back', slots: 1, workMs: 0,
		});
		await target.listen();
		const send = async (id: string, agent: Agent) => new Promise<void>(resolve => {
			const sent = httpRequest({
				host: '127.0.0.1', port: target.port, path: '/read/', agent, headers: {[meshHeaders.attemptId]: id, [meshHeaders.expectedInstance]: 'i'},
			}, response => {
				// As a daemon does with what it doesn't take.
				if (response.headers['content-length'] === undefined) {
					response.destroy();
				}

				response.resume().on('close', resolve);
			});
			sent.end();
		});
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		await send('usual', agent);
		target.isSpoiling = true;
		await send('on a used connection', agent);
		target.isSpoiling = false;
		await send('usual too', agent);
		await expect.poll(() => target.receivedEnds.map(end => end?.outcome)).toEqual(['answered', 'unframed', 'answered']);
		agent.destroy();
		await target.close();
	});

	it('has an answer without a length on a new connection broken off', async () => {
		const target = new SoakTarget({
			id: 'i', service: 'back', slots: 1, workMs: 0,
		});
		await target.listen();
		target.isSpoiling = true;
		await new Promise<void>(resolve => {
			httpRequest({
				host: '127.0.0.1', port: target.port, path: '/read/', agent: false, headers: {[meshHeaders.attemptId]: 'a', [meshHeaders.expectedInstance]: 'i'},
			}, response => {
				response.on('close', resolve).destroy();
			}).end();
		});
		await expect.poll(() => target.receivedEnds.map(end => end?.outcome)).toEqual(['broken-off']);
		await target.close();
	});
});

describe('the checks of the soak', () => {
	it('find nothing where nothing is broken', () => {
		const killed = createRecord([refused(0, {isWhole: false, error: 'ECONNRESET'}), refused(429, {attemptId: 'l', key: 'key-limited-0', retryAfter: '1'}), refused(401, {attemptId: 'u', key: 'nobody-s-key'})]);
		killed.history.disturbances.push({
			fromMs: BEGIN_MS + AFTER_MS - 10, untilMs: BEGIN_MS + AFTER_MS + 1000, what: 'killed', host: 1,
		});
		expect(findViolations(killed)).toEqual([]);
		const twoCallers = Array.from({length: 7}, (_, index) => receipt(`d${index}`, {path: DEADLY_PATH, callerService: index < 3 ? 'front' : 'back', atMs: BEGIN_MS + (index < 3 ? index : 5000 + index)}));
		expect(findViolations(poison(createRecord([], twoCallers)))).toEqual([]);
		expect(findViolations(createRecord([request('r')], [receipt('r'), receipt('r.0')]))).toEqual([]);
	});

	it.each<[string, () => SoakRecord]>([
		['a request behind others on a connection that closed, not passed on', () => createRecord([pipelined({isBehind: true, endedMs: BEGIN_MS + AFTER_MS + 4000})])],
		['a request that crosses the close of its connection', () => createRecord([pipelined()])],
		['a request behind others on a connection that closed, passed on, whose deadline is over', () => createRecord([pipelined({isBehind: true, endedMs: BEGIN_MS + AFTER_MS + 4500})], [receipt('r', {path: '/kept/5-1-10-0-1'})])],
		['an upload whose last byte was never sent', () => createRecord([upload({status: 0, lastByteMs: undefined, isWhole: false})])],
		['a streamed answer whose target crashes', () => createRecord([cutStream()], [cutRun('crashed')])],
		['a streamed answer whose deadline is over', () => createRecord([cutStream({endedMs: BEGIN_MS + AFTER_MS + 4500})], [cutRun('broken-off')])],
		['a streamed answer at the end of the grace period of its target\'s daemon', () => stop(createRecord([cutStream()], [cutRun('broken-off')]), 2, 2100)],
		['a run that is broken off at the end of the grace period', () => stop(createRecord([replaced()], [replacedRun()]), 1, 2100)],
		['a run whose deadline is over', () => stop(createRecord([replaced({deadlineMs: 3000})], [replacedRun()]), 1, 1000)],
		['a run whose answer another daemon\'s stop replaces', () => stop(createRecord([replaced()], [replacedRun()]), 2, 1000)],
		['an answer without a length on a used connection', () => stop(createRecord([replaced()], [replacedRun(3000, 'unframed')]), 1, 1000)],
		['a request that reaches a target within its drain time', () => drain(DRAIN_MS)],
		['a request that reaches the next start of a target that drained', () => drain(5000)],
		['a request that reaches another target while one drains', () => drain(DRAIN_MS + 1, {host: 3})],
		['a daemon that ends within a moment after it stood still', () => endAlone(createRecord(), 900)],
	])('allow %s', (_, create) => {
		expect(findViolations(create())).toEqual([]);
	});

	it('hold a key against the sites that may be in force: late by the time of an outage where the operator isn\'t strict', () => {
		const used = (isStrict: boolean) => withdraw(createRecord([request('r')], [receipt('r')], {isStrict}), 'key-hot-0', BEGIN_MS + AFTER_MS - 6000);
		const away = used(false);
		away.history.disturbances.push({fromMs: BEGIN_MS + AFTER_MS - 7000, untilMs: BEGIN_MS + AFTER_MS - 1000, what: 'store'});
		expect(findViolations(away)).toEqual([]);
		const strict = used(true);
		strict.history.disturbances.push(...away.history.disturbances);
		expect(brokenBy(strict)).toEqual(new Set(['withdrawn keys aren\'t in use']));
	});

	it.each<[string, () => SoakRecord]>([
		['at most once', () => createRecord([request('r')], [receipt('r'), receipt('r')])],
		['a draining target gets nothing after the drain time', () => drain(DRAIN_MS + 1)],
		['right answer', () => createRecord([refused(700)])],
		['right answer', () => createRecord([request('r', {answeredAttemptId: 'other'})])],
		['whole answer', () => createRecord([request('r', {isWhole: false})])],
		['has not run', () => createRecord([refused(503, {isNotRun: true})], [receipt('r')])],
		['has not run', () => createRecord([refused(503)], [receipt('r')])],
		['no sound request is held', () => createRecord([], [], {heldPaths: ['/orders/']})],
		['a request that crashes targets is kept from them', () => poison(createRecord([], Array.from({length: 7}, (_, index) => receipt(`d${index}`, {path: DEADLY_PATH, atMs: BEGIN_MS + (index < 3 ? index : 5000 + index)}))))],
		['has not run', () => createRecord([refused(401, {key: 'nobody-s-key'})], [receipt('r', {organisation: undefined, path: '/open/'})])],
		['every accepted request is answered', () => createRecord([refused(0, {isWhole: false, error: 'ECONNRESET'})])],
		['every accepted request is answered', () => createRecord([pipelined({isBehind: true})], [receipt('r', {path: '/kept/5-1-10-0-1', hasRun: false})])],
		['every accepted request is answered', () => createRecord([pipelined({isBehind: true, endedMs: BEGIN_MS + AFTER_MS + 4499})], [receipt('r', {path: '/kept/5-1-10-0-1'})])],
		['every accepted request is answered', () => createRecord([pipelined()], [], {begunAttemptIds: ['r']})],
		['every accepted request is answered', () => createRecord([pipelined({endedMs: BEGIN_MS + AFTER_MS + 250})])],
		['every accepted request is answered', () => createRecord([upload({status: 0, isWhole: false})])],
		['right answer', () => createRecord([request('r', {isRight: false})])],
		['nothing runs unasked', () => createRecord([upload()], [receipt('r', {path: '/upload/5-1-20-0-1', bodyDigest: 'other'})])],
		['at most once', () => createRecord([upload()], Array.from({length: 2}, () => receipt('r', {path: '/upload/5-1-20-0-1'})))],
		['whole answer', () => createRecord([cutStream()], [cutRun('broken-off')])],
		['whole answer', () => stop(createRecord([cutStream()], [cutRun('answered')]), 1, 0)],
		['whole answer', () => stop(createRecord([cutStream()], [cutRun('broken-off', 2800)]), 1, 2100)],
		['whole answer', () => stop(createRecord([cutStream({lastByteMs: BEGIN_MS + AFTER_MS + 1000})], [cutRun('broken-off')]), 1, 2100)],
		['a stop breaks no run off', () => stop(createRecord([replaced()], [replacedRun()]), 1, 1000)],
		['a stop breaks no run off', () => stop(createRecord([replaced({lastByteMs: BEGIN_MS + AFTER_MS + 1000})], [replacedRun()]), 1, 2100)],
		['a daemon ends only when told to', () => endAlone(createRecord(), 1100)],
		['401 only without a known key', () => createRecord([refused(401)])],
		['withdrawn keys aren\'t in use', () => withdraw(createRecord([request('r')], [receipt('r')]), 'key-hot-0', BEGIN_MS + 1000)],
		['withdrawn keys aren\'t in use', () => createRecord([request('r')], [receipt('r', {organisation: 'small-a'})])],
		['nothing runs unasked', () => createRecord([request('r', {key: undefined})], [receipt('r', {organisation: undefined})])],
		['no key reaches a target', () => createRecord([request('r')], [receipt('r', {hasAuthorization: true})])],
		['429 only above a quota', () => createRecord([refused(429, {retryAfter: '1'})])],
		['429 says when to come back', () => createRecord([refused(429, {key: 'key-limited-0'})])],
		['quota in any window', () => createRecord([], Array.from({length: 130}, (_, index) => receipt(`q-${index}`, {organisation: 'limited', atMs: BEGIN_MS + AFTER_MS + (index * 30)})))],
		['a quota can be used', () => ({...createRecord(), calmUntilMs: CALM_MS + 8000})],
		['a hot organisation starves nobody', () => createRecord(Array.from({length: 30}, (_, index) => refused(503, {attemptId: `s${index}`, stream: 'small-a', sentMs: CALM_MS + index})))],
	])('report that "%s" is broken', (promise, create) => {
		expect(brokenBy(create())).toContain(promise);
	});
});
