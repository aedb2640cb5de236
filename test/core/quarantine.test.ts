import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {CrashSimulation, DEADLY} from '../../fakes/crashsimulation.js';
import {
	type CrashReport, type QuarantineNews, Quarantine, TrialSchedule, findSingleSuspect,
} from '../../src/core/index.js';

const HOLD_MS = 30_000;
const MEMORY_MS = 60_000;
const TARGETS = 4;
const SUBJECT = {
	route: 'x', method: 'GET', path: '/x/', caller: 'front', attemptId: 'a1',
};
const parentOf = () => undefined;

const reportOf = (id: number, requests: string[], more: Partial<CrashReport> = {}): CrashReport => ({
	id, service: 'back', start: `i-${id}`, ageMs: 0, requests, chance: 1, ...more,
});

/** A crash at which these requests were in flight, as the daemon beside the target concludes from it. */
function crash(quarantine: Quarantine, id: number, requests: string[], nowMs: number, ranMs = 50): QuarantineNews {
	const lost = requests.map((request, index) => ({request, attemptId: `${id}-${index}`, ranMs}));
	const inquiry = findSingleSuspect(lost, quarantine, parentOf, nowMs);
	const {report, hold} = quarantine.concludeCrash({
		id, service: 'back', start: `i-${id}`, requests,
	}, inquiry && {...inquiry, subject: SUBJECT}, TARGETS, nowMs);
	return {crashes: [report], survivals: [], holds: hold === undefined ? [] : [hold]};
}

/** A quarantine that holds `deadly` after three crashes, the last of them in a trial. */
function convict(): Quarantine {
	const quarantine = new Quarantine(HOLD_MS);
	crash(quarantine, 1, ['deadly', 'a', 'b'], 0);
	crash(quarantine, 2, ['deadly', 'b', 'c'], 100);
	crash(quarantine, 3, ['deadly'], 200);
	return quarantine;
}

describe('how suspicion becomes proof', () => {
	it('takes two crashes for a suspect and a third with it alone for proof', () => {
		const quarantine = new Quarantine(HOLD_MS);
		crash(quarantine, 1, ['deadly', 'a', 'b'], 0);
		expect(quarantine.verdictOf('deadly', 1)).toBe('pass');
		crash(quarantine, 2, ['deadly', 'b', 'c'], 100);
		expect(['deadly', 'a', 'b', 'c'].map(request => quarantine.verdictOf(request, 101))).toEqual(['trial', 'pass', 'trial', 'pass']);
		crash(quarantine, 3, ['deadly'], 200);
		expect(quarantine.verdictOf('deadly', 201)).toBe('refuse');
	});

	it('clears the others that were in flight at crashes that a held request explains', () => {
		expect(convict().verdictOf('b', 201)).toBe('pass');
	});

	it('proves nothing by a crash with two requests that were in flight at crashes before', () => {
		const quarantine = new Quarantine(HOLD_MS);
		crash(quarantine, 1, ['deadly', 'a'], 0);
		crash(quarantine, 2, ['deadly', 'a'], 100);
		crash(quarantine, 3, ['deadly', 'a'], 200);
		expect(['deadly', 'a'].map(request => quarantine.verdictOf(request, 201))).toEqual(['trial', 'trial']);
	});

	it('proves nothing by one crash if targets often crash by themselves', () => {
		const quarantine = new Quarantine(HOLD_MS);
		for (let id = 10; id < 40; id++) {
			crash(quarantine, id, [`victim-${id}`], 0);
		}

		crash(quarantine, 1, ['popular', 'a'], 0);
		crash(quarantine, 2, ['popular', 'b'], 0);
		crash(quarantine, 3, ['popular'], 100);
		expect(quarantine.verdictOf('popular', 101)).toBe('trial');
		expect(quarantine.concludeServed('popular', 150, 240).survival?.crashes).toEqual([1, 2, 3]);
		expect(quarantine.verdictOf('popular', 241)).toBe('pass');
	});

	it('blames the call and not the run that waits for it on the same target', () => {
		const quarantine = new Quarantine(HOLD_MS);
		crash(quarantine, 1, ['parent', 'call'], 0);
		crash(quarantine, 2, ['parent', 'call'], 100);
		const lost = [{request: 'parent', attemptId: 'p', ranMs: 80}, {request: 'call', attemptId: 'p.1', ranMs: 40}];
		expect(findSingleSuspect(lost, quarantine, attemptId => attemptId === 'p.1' ? 'p' : undefined, 200)?.request).toBe('call');
	});
});

describe('a held request', () => {
	it('is tried again after the stated time, and passes once a target has answered it', () => {
		const quarantine = convict();
		expect(quarantine.leftMs('deadly', 200)).toBe(HOLD_MS);
		expect(quarantine.verdictOf('deadly', 200 + HOLD_MS - 1)).toBe('refuse');
		const triedMs = 200 + HOLD_MS;
		expect(quarantine.verdictOf('deadly', triedMs)).toBe('trial');
		expect(quarantine.concludeServed('deadly', triedMs, triedMs + 90).hold?.isHeld).toBe(false);
		expect(quarantine.verdictOf('deadly', triedMs + 91)).toBe('pass');
	});

	it('is held for twice as long after a crash in that trial, and for eight times at most', () => {
		const quarantine = convict();
		let nowMs = 200;
		const heldMs = [];
		for (let id = 4; id < 10; id++) {
			nowMs += quarantine.leftMs('deadly', nowMs);
			crash(quarantine, id, ['deadly'], nowMs);
			heldMs.push(quarantine.leftMs('deadly', nowMs) / HOLD_MS);
		}

		expect(heldMs).toEqual([2, 4, 8, 8, 8, 8]);
	});

	it('is let through once an operator lifts it, also where a late word of the hold comes after', () => {
		const quarantine = convict();
		const {holds} = quarantine.describe(210);
		const peer = new Quarantine(HOLD_MS);
		peer.record(quarantine.lift('deadly', 300)!, 310);
		expect(peer.record({crashes: [], survivals: [], holds}, 320).holds).toEqual([]);
		expect([quarantine, peer].map(one => one.verdictOf('deadly', 330))).toEqual(['pass', 'pass']);
	});

	it('is not held longer than the limit, whatever a peer says', () => {
		const quarantine = new Quarantine(HOLD_MS);
		const [hold] = convict().describe(200).holds;
		quarantine.recordHold({...hold, leftMs: 1e12}, 0);
		expect(quarantine.leftMs('deadly', 0)).toBe(HOLD_MS * 8);
	});
});

describe('what daemons tell each other of crashes', () => {
	it('leads to the same verdicts in whatever order it comes, also twice', () => {
		const first = new Quarantine(HOLD_MS);
		const items: QuarantineNews[] = [
			crash(first, 1, ['deadly', 'a', 'b'], 0),
			crash(first, 2, ['deadly', 'a', 'b'], 10),
			{crashes: [], survivals: [{request: 'a', crashes: [1, 2]}], holds: []},
			crash(first, 3, ['deadly', 'c'], 20),
			crash(first, 4, ['a'], 30),
		];
		first.record(items[2], 40);
		const verdictsOf = (quarantine: Quarantine) => ['deadly', 'a', 'b', 'c'].map(request => quarantine.verdictOf(request, 100));
		const expected = verdictsOf(first);
		fc.assert(fc.property(fc.shuffledSubarray([...items, ...items], {minLength: 10, maxLength: 10}), shuffled => {
			const peer = new Quarantine(HOLD_MS);
			for (const news of shuffled) {
				peer.record(news, 50);
			}

			expect(verdictsOf(peer)).toEqual(expected);
		}));
	});

	it('is forgotten after a minute, and bounded', () => {
		const quarantine = new Quarantine(HOLD_MS);
		for (let id = 0; id < 2000; id++) {
			quarantine.recordCrash(reportOf(id, Array.from({length: 400}, (_, index) => `r${id}-${index}`)), id);
			quarantine.recordSurvival({request: `r${id}-0`, crashes: [id, id + 1]}, id);
		}

		const {crashes, survivals} = quarantine.describe(2000);
		expect(crashes.length).toBeLessThanOrEqual(128);
		expect(crashes.every(({requests}) => requests.length <= 256)).toBe(true);
		expect(survivals.length).toBeLessThanOrEqual(128);
		quarantine.removeExpired(2000 + MEMORY_MS);
		expect(quarantine.isIdle).toBe(true);
	});

	it('is nothing without the setting', () => {
		const quarantine = new Quarantine();
		crash(quarantine, 1, ['deadly'], 0);
		crash(quarantine, 2, ['deadly'], 100);
		crash(quarantine, 3, ['deadly'], 200);
		expect(quarantine.recordSurvival({request: 'a', crashes: [9]}, 200)).toBe(false);
		expect([quarantine.isActive, quarantine.isIdle, quarantine.verdictOf('deadly', 201)]).toEqual([false, true, 'pass']);
	});
});

describe('a trial', () => {
	it('begins once nothing else runs, or after 0.3 s, and leaves the target to others for as long as it kept them', () => {
		const schedule = new TrialSchedule();
		expect([schedule.next(1, 5, 0), schedule.next(1, 1, 299), schedule.next(1, 1, 300)]).toEqual(['drain', 'drain', 'begin']);
		schedule.onBegun(300);
		expect([schedule.next(1, 1, 350), schedule.next(1, 1, 700)]).toEqual(['drain', 'run']);
		schedule.onEnded(800);
		expect([schedule.next(1, 0, 801), schedule.next(1, 0, 1499), schedule.next(1, 0, 1500)]).toEqual(['run', 'run', 'begin']);
	});
});

const FLEET = {
	targets: 4, meanUptimeMs: 15_000, jointCrashMs: 40_000, uniquePerS: 150, popularPerS: 60, knownPerS: 1, newsMs: 30,
};
const RUN_MS = 300_000;

describe('targets that crash by themselves', () => {
	it.each([1, 2, 3, 4, 5, 6])('get no sound request refused, also one that many callers send (seed %i)', seed => {
		const fleet = new CrashSimulation({seed, ...FLEET});
		fleet.run(RUN_MS);
		expect(fleet.crashes).toBeGreaterThan(60);
		expect(fleet.refused).toEqual({
			popular: 0, known: 0, deadly: 0, unique: 0,
		});
	});
});

describe('a request that crashes targets beside others that crash by themselves', () => {
	it.each([1, 2, 3])('is held, and no other is (seed %i)', seed => {
		const fleet = new CrashSimulation({
			seed, ...FLEET, meanUptimeMs: 60_000, jointCrashMs: 1e9, deadlyPerS: 4, mendedAtMs: 100_000,
		});
		fleet.run(RUN_MS);
		const third = fleet.deadlyCrashesMs[2];
		expect(fleet.deadlyCrashesMs.filter(atMs => atMs > third + 3000).length).toBeLessThanOrEqual(3);
		expect({...fleet.refused, [DEADLY]: 0}).toEqual({
			popular: 0, known: 0, deadly: 0, unique: 0,
		});
		expect(fleet.refused.deadly).toBeGreaterThan(0);
		expect(fleet.deadlyServed).toBeGreaterThan(0);
	});
});
