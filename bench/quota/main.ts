/**
 * Prints what the shared budgets cost in messages and bytes, by the number of daemons and of organisations, in
 * virtual time, while one organisation sends many times its quota: `npm run bench:quota -- [DAEMONS ORGANISATIONS [SEED]]`.
 */
import process from 'node:process';
import {type FleetLoad, ShareFleet} from '../../fakes/sharefleet.js';
import {type AllowanceNews, type UsageReport, roomOf} from '../../src/mesh/index.js';
import {encodeFrame} from '../../src/relay/peers/frame.js';
import {buildAllowanceFrame, buildUsageFrame} from '../../src/relay/peers/shareframe.js';

const ROOM = {windowMs: 5000, over: 0.1, slack: 20};
/** The requests of all organisations together, a second. */
const TOTAL_PER_S = 2000;
const LIMIT_PER_USUAL = 1.6;
const HOT = 7.5;
const START_MS = 8000;
const CALM_MS = 5000;
const HOT_MS = 10_000;
const DOMAIN_COUNT = 8;
const SIZES = [[60, 72], [60, 1000], [300, 72], [300, 1000], [963, 72], [963, 1000]];

const sizeOf = (message: UsageReport | AllowanceNews) => encodeFrame('usages' in message ? buildUsageFrame(message) : buildAllowanceFrame(message)).length;

function measure(daemonCount: number, organisationCount: number, seed = 1): void {
	const usualPerS = TOTAL_PER_S / organisationCount;
	const limit = {ratePerS: usualPerS * LIMIT_PER_USUAL, burst: usualPerS * LIMIT_PER_USUAL};
	const names = Array.from({length: organisationCount}, (_, index) => `organisation-${index}`);
	const [hot, ...others] = names;
	const start = process.cpuUsage();
	const fleet = new ShareFleet(daemonCount, new Map(names.map(name => [name, limit])), ROOM, {seed, domainCount: DOMAIN_COUNT, sizeOf});
	fleet.run(START_MS, []);
	const loads = (factor: number) => names.map((budget): FleetLoad => ({budget, perS: () => usualPerS * (budget === hot ? factor : 1), choose: (_nowMs, random) => random.pick(fleet.members)}));
	const play = (what: string, factor: number, forMs: number) => {
		const {frames, bytes} = fleet;
		fleet.run(forMs, loads(factor));
		const daemonSeconds = daemonCount * forMs / 1000;
		return `${what}_frames_per_daemon_s=${((fleet.frames - frames) / daemonSeconds).toFixed(1)} ${what}_bytes_per_daemon_s=${((fleet.bytes - bytes) / daemonSeconds).toFixed(0)}`;
	};

	const calm = play('calm', 1, CALM_MS);
	const limited = play('hot', HOT, HOT_MS);
	const allowed = (limit.ratePerS * ROOM.windowMs / 1000) + limit.burst + roomOf(limit, ROOM);
	const refused = others.reduce((sum, name) => sum + fleet.countRefused(name), 0);
	const sent = refused + others.reduce((sum, name) => sum + fleet.countAdmitted(name, 0), 0);
	const {user, system} = process.cpuUsage(start);
	console.log(`daemons=${daemonCount} organisations=${organisationCount} accountants=${fleet.members[0].sharing.accountants.hosts.length} ${calm} ${limited} `
		+ `most_in_window=${fleet.mostInWindow(hot, ROOM.windowMs)} allowed=${allowed.toFixed(0)} others_refused=${(refused / sent).toFixed(5)} cpu_s=${((user + system) / 1e6).toFixed(0)}`);
}

const chosen = process.argv.slice(2).map(Number);
for (const [daemonCount, organisationCount, seed] of chosen.length > 0 ? [chosen] : SIZES) {
	measure(daemonCount, organisationCount, seed);
}
