import {describe, expect, it} from 'vitest';
import {type CallerAnswer, type SiteObserver} from '../../fakes/index.js';
import {type CasePlan} from '../../proof/caseplan.js';
import {MAX_KEY_LENGTH} from '../../src/core/idempotencykey.js';
import {
	START_MS, type SimulatedService, CaseSimulation, createRequest, createTimedKey,
} from '../../proof/casesimulation.js';

const NO_FAULTS: CasePlan = {
	seed: 1, faults: [], drop: 0, duplicate: 0, reorder: 0, reset: 0, requests: 0, variant: 0,
};
const SERVICES: SimulatedService[] = [
	{
		name: 'front', upstreams: 3, target: {slots: 4, meanMs: 10}, calls: [['back/read']],
	},
	{
		name: 'back', upstreams: 2, target: {slots: 4, meanMs: 10}, calls: [],
	},
];

function createWorld(witness?: SiteObserver, services = SERVICES): CaseSimulation {
	return new CaseSimulation({plan: NO_FAULTS, services, witness});
}

function sendRequest(world: CaseSimulation, host: string, {key, attempt, budgetMs}: {key?: string; attempt?: number; budgetMs?: number} = {}, forMs = 1500): CallerAnswer | undefined {
	let received: CallerAnswer | undefined;
	const operation = key === undefined ? 'read' : 'write';
	world.send(host, createRequest(key ?? 'root', 'front', operation), {key, attempt, budgetMs}, answer => {
		received = answer;
	});
	world.site.run(forMs);
	return received;
}

function countRuns(): {witness: SiteObserver; runs: string[]} {
	const runs: string[] = [];
	return {
		runs,
		witness: {
			onRun(host, {service, idempotent}) {
				if (!idempotent) {
					runs.push(`${service}@${host}`);
				}
			},
		},
	};
}

describe('a simulated site in virtual time', () => {
	it('serves a request through a chain of services, whichever daemon receives it', () => {
		const world = createWorld();
		for (const host of world.site.ids) {
			expect(sendRequest(world, host)).toMatchObject({outcome: 'complete', digest: 'digest of root'});
		}
	});

	it('makes daemons that start at the same time find each other', () => {
		const world = createWorld();
		for (const host of world.site.ids) {
			expect(world.site.core(host)!.status().members).toHaveLength(5);
		}
	});

	it('replays the stored answer instead of running an idempotency key twice', () => {
		const {runs, witness} = countRuns();
		const world = createWorld(witness);
		const key = createTimedKey(world.site.nowMs, 1);
		expect(sendRequest(world, 'back-0', {key, attempt: 1})?.outcome).toBe('complete');
		expect(sendRequest(world, 'front-1', {key, attempt: 2})?.outcome).toBe('complete');
		expect(runs).toHaveLength(1);
	});

	it('gives two resends of a key that begin at the same daemon at once different fencing tokens, and runs one of them', () => {
		const {runs, witness} = countRuns();
		const world = createWorld(witness);
		const key = createTimedKey(world.site.nowMs, 1);
		const tokens = new Set<string>();
		world.site.network.onSend = (_from, frame) => {
			if (frame.type === 'fence') {
				tokens.add(frame.ballot.tie);
			}
		};

		for (let resend = 0; resend < 2; resend++) {
			world.send('back-0', createRequest(key, 'front', 'write'), {key, attempt: 2}, () => undefined);
		}

		world.site.run(3000);
		expect([tokens.size, runs.length]).toEqual([2, 1]);
	});

	it('runs a resend whose first attempt never arrived', () => {
		const {runs, witness} = countRuns();
		const world = createWorld(witness);
		const key = createTimedKey(world.site.nowMs, 1);
		expect(sendRequest(world, 'back-0', {key, attempt: 2})?.outcome).toBe('complete');
		expect(runs).toHaveLength(1);
	});

	it('does not run a resend while an upstream that may have run it is unreachable', () => {
		const {runs, witness} = countRuns();
		const world = createWorld(witness);
		const key = createTimedKey(world.site.nowMs, 1);
		world.site.pause('front-2');
		expect(sendRequest(world, 'back-0', {key, attempt: 2}, 4000)).toMatchObject({outcome: 'unknown', reason: 'fence-unavailable'});
		expect(runs).toEqual([]);
	});

	it('runs new keyed requests while one daemon is dead', () => {
		const world = createWorld();
		world.site.kill('front-2');
		world.site.run(6000);
		for (let number = 0; number < 10; number++) {
			expect(sendRequest(world, 'back-0', {key: createTimedKey(world.site.nowMs, number)}, 500)?.outcome).toBe('complete');
		}
	});

	it('treats a key without an attempt number as a resend if a daemon died after its creation', () => {
		const {runs, witness} = countRuns();
		const world = createWorld(witness);
		const key = createTimedKey(world.site.nowMs, 1);
		world.site.kill('front-2');
		world.site.run(6000);
		expect(sendRequest(world, 'back-0', {key})).toMatchObject({outcome: 'unknown'});
		expect(runs).toEqual([]);
	});

	// Guards against "not-run" for a request that has run, from a daemon that doesn't know yet whom to ask.
	it.each([{attempt: 2}, {attempt: undefined}])('tells no resend that nothing has run while it knows no upstream after its start: attempt $attempt', ({attempt}) => {
		const world = createWorld();
		const key = createTimedKey(world.site.nowMs, 1);
		expect(sendRequest(world, 'front-0', {key, attempt: 1})?.outcome).toBe('complete');
		world.site.kill('back-0');
		world.site.start('back-0');
		const answers: Array<Pick<CallerAnswer, 'outcome' | 'reason'>> = [];
		for (let sends = 0; sends < 100; sends++) {
			world.send('back-0', createRequest(key, 'front', 'write'), {key, attempt}, ({outcome, reason}) => {
				answers.push({outcome, reason});
			});
			world.site.run(1);
		}

		world.site.run(4000);
		expect(answers).toHaveLength(100);
		expect(answers.filter(({outcome}) => outcome === 'not-run')).toEqual([]);
	});

	it('refuses a key created in the future or before the resend window', () => {
		const world = createWorld();
		const future = createTimedKey(world.site.nowMs + 60_000, 1);
		const old = createTimedKey(START_MS - 3_600_000, 1);
		expect(sendRequest(world, 'back-0', {key: future, attempt: 1})).toMatchObject({outcome: 'not-run', reason: 'key-from-future'});
		expect(sendRequest(world, 'back-0', {key: old, attempt: 2})).toMatchObject({outcome: 'unknown', reason: 'key-expired'});
	});

	it('refuses a key that is too long as such, and accepts the longest one', () => {
		const world = createWorld();
		expect(sendRequest(world, 'back-0', {key: 'k'.repeat(MAX_KEY_LENGTH + 1), attempt: 1})).toMatchObject({outcome: 'not-run', reason: 'key-too-long'});
		expect(sendRequest(world, 'back-0', {key: 'k'.repeat(MAX_KEY_LENGTH), attempt: 1})?.outcome).toBe('complete');
	});

	it('refuses immediately, with a retry-after time, when there is no upstream', () => {
		const world = createWorld();
		for (const host of ['front-0', 'front-1', 'front-2']) {
			world.site.setServing(host, false);
		}

		world.site.run(500);
		expect(sendRequest(world, 'back-0')).toMatchObject({
			outcome: 'not-run', reason: 'no-upstream', decidedMs: 0, retryAfterMs: 1000,
		});
	});

	it('answers with outcome unknown at the deadline when the target hangs', () => {
		const world = createWorld();
		for (const host of ['front-0', 'front-1', 'front-2']) {
			world.site.target(host)!.slowdown = 1000;
		}

		expect(sendRequest(world, 'back-0', {budgetMs: 300})).toMatchObject({outcome: 'unknown'});
	});

	it('refuses requests until it has a configuration', () => {
		const world = createWorld();
		world.site.platform.faults.outage = true;
		for (const host of world.site.ids) {
			world.site.kill(host);
		}

		for (const host of world.site.ids) {
			world.site.start(host);
		}

		world.site.run(2000);
		expect(sendRequest(world, 'front-0')).toMatchObject({outcome: 'not-run', reason: 'no-config'});
	});

	it('serves requests with the known configuration while the platform is down', () => {
		const world = createWorld();
		world.site.platform.faults.outage = true;
		world.site.run(20_000);
		expect(sendRequest(world, 'back-1')?.outcome).toBe('complete');
	});

	it('reconnects both sides after a long network partition', () => {
		const world = createWorld();
		const sides = [['front-0', 'front-1'], ['front-2', 'back-0', 'back-1']];
		for (const left of sides[0]) {
			for (const right of sides[1]) {
				world.site.network.cut(left, right);
			}
		}

		world.site.run(30_000);
		expect(world.site.core('front-0')!.status().members.filter(({status}) => status === 'dead')).toHaveLength(3);
		world.site.network.healCuts();
		world.site.run(40_000);
		expect(world.site.core('front-0')!.status().members.every(({status}) => status === 'alive')).toBe(true);
	});

	it('does not suspect a peer when it closes the idle link to it', () => {
		const many: SimulatedService[] = Array.from({length: 6}, (_, at) => ({...SERVICES[1], name: `s${at}`, upstreams: 3}));
		const world = createWorld(undefined, many);
		const incarnations = () => world.site.ids.map(id => world.site.core(id)!.status().self.incarnation);
		const before = incarnations();
		world.site.run(150_000);
		expect(incarnations()).toEqual(before);
	});

	it('explains what would happen to a request', () => {
		const world = createWorld();
		const node = world.site.core('back-0')!;
		expect(node.explain({service: 'front', method: 'GET', path: '/read'})).toMatchObject({verdict: 'admitted', className: 'status-check'});
		expect(node.explain({service: 'frond', method: 'GET', path: '/read'})).toMatchObject({verdict: 'refused', reason: 'unknown-service'});
	});
});
