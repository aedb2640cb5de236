import * as fc from 'fast-check';
import {
	describe, expect, it, vi,
} from 'vitest';
import {type FleetLoad, type FleetMember, ShareFleet} from '../../fakes/sharefleet.js';
import {type BudgetLimit, roomOf} from '../../src/mesh/index.js';
import {Ledger} from '../../src/mesh/shares/ledger.js';

const ROOM = {windowMs: 5000, over: 0.1, slack: 20};
/** How much more than usual a hot organisation sends. */
const HOT = 7.5;
/** Limit per usual rate, and the burst in s of the limit. */
const LIMIT_PER_USUAL = 1.6;
const START_MS = 8000;

const limitFor = (usualPerS: number): BudgetLimit => ({ratePerS: usualPerS * LIMIT_PER_USUAL, burst: usualPerS * LIMIT_PER_USUAL});
/** The most requests that may be admitted in a window. */
const allowed = (limit: BudgetLimit) => (limit.ratePerS * ROOM.windowMs / 1000) + limit.burst + roomOf(limit, ROOM);

const createFleet = (count: number, limits: Record<string, BudgetLimit>, seed = 1) => {
	const fleet = new ShareFleet(count, new Map(Object.entries(limits)), ROOM, {seed});
	fleet.run(START_MS, []);
	return fleet;
};

const anywhere = (fleet: ShareFleet): FleetLoad['choose'] => (_nowMs, random) => random.pick(fleet.members);

/** Where a hot organisation sends its requests. */
const PLACES: Record<string, (fleet: ShareFleet) => FleetLoad['choose']> = {
	'on one daemon': fleet => () => fleet.members[7],
	'spread thinly over all': anywhere,
	'hopping from daemon to daemon': fleet => nowMs => fleet.members[Math.floor(nowMs / 400) % fleet.members.length],
};

describe('a hot organisation', () => {
	for (const [place, choose] of Object.entries(PLACES)) {
		it.each([5, 125])(`${place} that usually sends %i/s stays within its limit, uses it, and takes nothing from another`, usualPerS => {
			const limit = limitFor(usualPerS);
			const fleet = createFleet(59, {hot: limit, calm: limit});
			const loads = (hotPerS: number): FleetLoad[] => [
				{budget: 'hot', perS: () => hotPerS, choose: choose(fleet)},
				{budget: 'calm', perS: () => usualPerS, choose: anywhere(fleet)},
			];
			fleet.run(10_000, loads(usualPerS));
			expect(fleet.countRefused('hot')).toBeLessThanOrEqual(1 + (usualPerS * 10 * 0.02));
			fleet.run(10_000, loads(usualPerS * HOT));
			expect(fleet.mostInWindow('hot', ROOM.windowMs)).toBeLessThanOrEqual(allowed(limit));
			expect(fleet.countAdmitted('hot', START_MS + 10_000)).toBeGreaterThanOrEqual(limit.ratePerS * 10 * 0.95);
			expect(fleet.countRefused('calm')).toBeLessThanOrEqual(1 + (usualPerS * 20 * 0.01));
			const calmMs = fleet.nowMs + 2500;
			fleet.run(10_000, loads(usualPerS));
			expect(fleet.countRefused('hot', calmMs)).toBeLessThanOrEqual(1 + (usualPerS * 7.5 * 0.02));
		});
	}

	it('stays within its limit among 300 daemons and 1,000 organisations', () => {
		const names = Array.from({length: 1000}, (_, index) => `o${index}`);
		const limit = limitFor(20);
		const fleet = createFleet(300, Object.fromEntries(names.map(name => [name, name === 'o0' ? limit : limitFor(1)])));
		const framesBefore = fleet.frames;
		const fromMs = fleet.nowMs;
		const loads = names.map((budget): FleetLoad => ({
			budget, choose: anywhere(fleet), perS: nowMs => budget === 'o0' ? 20 * (nowMs - fromMs > 2000 ? HOT : 1) : 1,
		}));
		fleet.run(8000, loads);
		expect(fleet.mostInWindow('o0', ROOM.windowMs)).toBeLessThanOrEqual(allowed(limit));
		const refused = names.slice(1).reduce((sum, name) => sum + fleet.countRefused(name), 0);
		expect(refused / (999 * 8)).toBeLessThan(0.01);
		expect((fleet.frames - framesBefore) / 300 / 8).toBeLessThan(60);
	});
});

describe('an organisation whose requests rise suddenly, among 963 daemons of which each sees one in some seconds', () => {
	it.each([1, 4])('stays within its limit, seed %i', seed => {
		const usualPerS = 28;
		const limit = limitFor(usualPerS);
		const fleet = createFleet(963, {hot: limit}, seed);
		const load = (perS: number): FleetLoad[] => [{budget: 'hot', perS: () => perS, choose: anywhere(fleet)}];
		fleet.run(4000, load(usualPerS));
		// What went beyond the rate at the onset is paid back first.
		fleet.run(12_000, load(usualPerS * HOT));
		expect(fleet.mostInWindow('hot', ROOM.windowMs)).toBeLessThanOrEqual(allowed(limit));
		expect(fleet.countAdmitted('hot', fleet.nowMs - 5000)).toBeGreaterThanOrEqual(limit.ratePerS * 5 * 0.9);
	});
});

describe('the sum over all daemons stays within the limit', () => {
	const limit = limitFor(40);
	const hot = (fleet: ShareFleet): FleetLoad[] => [{budget: 'a', perS: () => 40 * HOT, choose: anywhere(fleet)}];
	const calm = (fleet: ShareFleet): FleetLoad[] => [{budget: 'a', perS: () => 40, choose: anywhere(fleet)}];
	const half = (fleet: ShareFleet) => fleet.members.filter((_member, index) => index % 2 === 0);

	it('in two halves that are cut from each other, and when they find each other again', () => {
		const fleet = createFleet(60, {a: limit});
		fleet.run(6000, hot(fleet));
		fleet.cut(half(fleet), 1);
		fleet.run(15_000, hot(fleet));
		fleet.cut(half(fleet), 0);
		fleet.run(10_000, hot(fleet));
		expect(fleet.mostInWindow('a', ROOM.windowMs)).toBeLessThanOrEqual(allowed(limit));
	});

	it('if the demand rises while they are cut', () => {
		const fleet = createFleet(60, {a: limit});
		fleet.run(6000, calm(fleet));
		fleet.cut(half(fleet), 1);
		fleet.run(8000, calm(fleet));
		fleet.run(8000, hot(fleet));
		expect(fleet.mostInWindow('a', ROOM.windowMs)).toBeLessThanOrEqual(allowed(limit));
		expect(fleet.countAdmitted('a', fleet.nowMs - 5000)).toBeGreaterThanOrEqual(limit.ratePerS * 5 * 0.9);
	});

	it('if a third of the daemons restart in the middle of a window, one after the other or at once', () => {
		const fleet = createFleet(60, {a: limit});
		fleet.run(6000, hot(fleet));
		const restarting = fleet.members.filter((_member, index) => index % 3 === 0);
		for (const member of restarting) {
			fleet.restart(member);
			fleet.run(200, hot(fleet));
		}

		for (const member of restarting) {
			fleet.kill(member);
		}

		fleet.run(1000, hot(fleet));
		for (const member of restarting) {
			fleet.restart(member);
		}

		fleet.run(6000, hot(fleet));
		expect(fleet.mostInWindow('a', ROOM.windowMs)).toBeLessThanOrEqual(allowed(limit));
	});

	it('if the accountant is killed, or cut off, or all daemons start anew', () => {
		const fleet = createFleet(60, {a: limit});
		const accountantOf = () => fleet.members.find(({name}) => name === fleet.members[1].sharing.accountants.of('a'))!;
		fleet.run(6000, hot(fleet));
		const first = accountantOf();
		fleet.kill(first);
		fleet.run(3000, hot(fleet));
		fleet.restart(first);
		fleet.run(3000, hot(fleet));
		fleet.cut([accountantOf()], 1);
		fleet.run(8000, hot(fleet));
		for (const member of fleet.members) {
			fleet.restart(member);
		}

		fleet.run(8000, hot(fleet));
		expect(fleet.mostInWindow('a', ROOM.windowMs)).toBeLessThanOrEqual(allowed(limit));
	});

	/** The accountant moves to and fro between daemons, each while some still report to the one before. */
	const moveAccountant = () => {
		const fleet = createFleet(60, {a: limit});
		const accountantOf = (member: FleetMember) => fleet.members.find(({name}) => name === member.sharing.accountants.of('a'))!;
		fleet.run(6000, hot(fleet));
		const first = accountantOf(fleet.members[1]);
		const seen = new Set<string>();
		for (let round = 0; round < 6; round++) {
			fleet.kill(first);
			fleet.run(1500 + (round * 400), hot(fleet));
			fleet.restart(first);
			fleet.run(1500, hot(fleet));
			fleet.cut(half(fleet), round % 2);
			fleet.run(1200, hot(fleet));
			for (const member of fleet.members) {
				seen.add(accountantOf(member).name);
			}
		}

		fleet.run(6000, hot(fleet));
		return {most: fleet.mostInWindow('a', ROOM.windowMs), accountants: seen.size};
	};

	it('while the accountant moves to and fro between daemons that all live', () => {
		const {most, accountants} = moveAccountant();
		expect(accountants).toBeGreaterThan(1);
		expect(most).toBeLessThanOrEqual(allowed(limit));
	});

	it('which is reported as broken if each accountant lends as if all daemons reported to it', () => {
		vi.spyOn(Ledger.prototype, 'setScale').mockImplementation(() => undefined);
		const {most} = moveAccountant();
		vi.restoreAllMocks();
		expect(most).toBeGreaterThan(allowed(limit));
	});

	it('if the limit is lowered far below what is sent, within a window; and a raised one is used', () => {
		const low = {ratePerS: 8, burst: 8};
		const fleet = createFleet(60, {a: limit});
		fleet.run(6000, calm(fleet));
		fleet.setLimits(new Map([['a', low]]));
		const loweredMs = fleet.nowMs;
		fleet.run(15_000, calm(fleet));
		const times = fleet.admittedMs.get('a')!.filter(timeMs => timeMs > loweredMs);
		const most = Math.max(...times.map(startMs => times.filter(timeMs => timeMs >= startMs && timeMs < startMs + ROOM.windowMs).length));
		expect(most).toBeLessThanOrEqual(allowed(low));
		fleet.setLimits(new Map([['a', limit]]));
		const raisedMs = fleet.nowMs + 1500;
		fleet.run(10_000, calm(fleet));
		expect(fleet.countRefused('a', raisedMs)).toBeLessThanOrEqual(40 * 8.5 * 0.01);
	});

	it('in any window, whatever the rates, places, restarts and cuts', () => {
		const phase = fc.record({
			factor: fc.double({min: 0, max: 10, noNaN: true}),
			place: fc.constantFrom(...Object.keys(PLACES)),
			event: fc.constantFrom('none', 'none', 'restart', 'cut one', 'cut half', 'heal'),
			forMs: fc.integer({min: 500, max: 6000}),
		});
		fc.assert(fc.property(fc.array(phase, {minLength: 2, maxLength: 6}), fc.constantFrom(2, 10, 100), fc.integer({min: 1, max: 1000}), (phases, usualPerS, seed) => {
			const budget = limitFor(usualPerS);
			const fleet = createFleet(24, {a: budget}, seed);
			for (const {factor, place, event, forMs} of phases) {
				applyEvent(fleet, event);
				fleet.run(forMs, [{budget: 'a', perS: () => usualPerS * factor, choose: PLACES[place](fleet)}]);
			}

			expect(fleet.mostInWindow('a', ROOM.windowMs)).toBeLessThanOrEqual(allowed(budget));
		}), {numRuns: 40, seed: 29});
	});
});

describe('without trouble of its own, an organisation below its limit is hardly refused', () => {
	it.each<[string, (fleet: ShareFleet) => void]>([
		['if a tenth of the daemons is cut off', fleet => {
			fleet.cut(fleet.members.slice(0, 6), 1);
		}],
		['if half of the daemons are killed', fleet => {
			for (const member of fleet.members.slice(0, 30)) {
				fleet.kill(member);
			}
		}],
		['if all daemons restart', fleet => {
			for (const member of fleet.members) {
				fleet.restart(member);
			}
		}],
	])('%s', (_name, disturb) => {
		const fleet = createFleet(60, {a: limitFor(5), b: limitFor(60)});
		const choose: FleetLoad['choose'] = (_nowMs, random) => random.pick(fleet.members.filter(({isUp, side}) => isUp && side === 0));
		const loads = [{budget: 'a', perS: () => 5, choose}, {budget: 'b', perS: () => 60, choose}];
		fleet.run(5000, loads);
		disturb(fleet);
		fleet.run(10_000, loads);
		expect(fleet.countRefused('a') / 75).toBeLessThan(0.05);
		expect(fleet.countRefused('b') / 900).toBeLessThan(0.05);
	});
});

describe('a token', () => {
	it('is given back once, also to the books of the accountant', () => {
		const fleet = createFleet(3, {a: {ratePerS: 2, burst: 2}});
		const [member] = fleet.members;
		fleet.run(2000, []);
		fleet.request(member, 'a');
		fleet.run(1000, []);
		const books = () => fleet.members.find(({name}) => name === member.sharing.accountants.of('a'))!.sharing.account.ledgerOf('a')!.level;
		fleet.request(member, 'a');
		const before = books();
		member.sharing.giveBack('a', fleet.nowMs);
		fleet.run(20, []);
		expect(books()).toBeGreaterThanOrEqual(before);
	});
});

function applyEvent(fleet: ShareFleet, event: string): void {
	const restarting: FleetMember = fleet.random.pick(fleet.members);
	switch (event) {
		case 'restart': {
			fleet.restart(restarting);
			break;
		}

		case 'cut one': {
			fleet.cut([restarting], 1);
			break;
		}

		case 'cut half': {
			fleet.cut(fleet.members.slice(0, fleet.members.length / 2), 1);
			break;
		}

		case 'heal': {
			fleet.cut(fleet.members, 0);
			break;
		}

		default:
	}
}
