import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {setTimeout as sleep} from 'node:timers/promises';
import process from 'node:process';
import {cac} from 'cac';
import {generateConfiguration} from '../../src/config/index.js';
import {encodeFrame} from '../../src/wire/index.js';
import {
	PLATFORM, Processes, cpuMs, residentKb, statusOf, until,
} from '../call/processes.js';
import {
	CHANGED_OBJECT, isControl, siteOf, versionOf,
} from './site.js';

const SIZES = [8, 50, 100, 200];
const START_SAMPLE_MS = 1000;
const SETTLE_MS = 40_000;
const STEADY_MS = 20_000;
const STEP_MS = 50;
const IN_FORCE_MS = 16_000;
const REAL_DAEMONS = 24;
const REAL_MS = 20_000;
const FULL_SIZE = 960;

type Row = {
	readonly daemons: number;
	readonly 'platform reads/s at start': number;
	readonly 'platform writes/s at start': number;
	readonly 'B/s control': number;
	readonly 'frames/s control': number;
	readonly 'max links': number;
	readonly watches: number;
	readonly 'change in force ms': number;
	readonly 'bytes per change': number;
	readonly 'death known ms': number;
	readonly 'bytes per death': number;
	readonly 'CPU % of a core': number;
	readonly 'heap KB': number;
};

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

type Tally = {bytes: number; frames: number};

function measure(daemons: number, seed: number): Row {
	collect();
	const heapBefore = process.memoryUsage().heapUsed;
	const site = siteOf(daemons, seed);
	const tally: Tally = {bytes: 0, frames: 0};
	site.run(START_SAMPLE_MS);
	const {reads, writes} = site.platform;
	site.run(SETTLE_MS);
	collect();
	const heapKb = (process.memoryUsage().heapUsed - heapBefore) / 1024 / daemons;
	const startMs = performance.now();
	site.run(STEADY_MS);
	const cpuShare = (performance.now() - startMs) / STEADY_MS / daemons;
	site.network.onSend = (_from, frame) => {
		if (isControl(frame)) {
			tally.bytes += encodeFrame(frame).length;
			tally.frames++;
		}
	};

	site.run(STEADY_MS);
	const steady = {...tally};
	const seconds = STEADY_MS / 1000;
	const change = measureChange(site, tally, steady.bytes / seconds);
	const links = Math.max(...site.ids.map(id => site.core(id)!.status().links.length));
	const watches = site.platform.watcherCount;
	const death = measureDeath(site, tally, steady.bytes / seconds);
	return {
		daemons,
		'platform reads/s at start': reads,
		'platform writes/s at start': writes,
		'B/s control': Math.round(steady.bytes / seconds / daemons),
		'frames/s control': Number((steady.frames / seconds / daemons).toFixed(1)),
		'max links': links,
		watches,
		'change in force ms': change.ms,
		'bytes per change': Math.round(change.bytes / daemons),
		'death known ms': death.ms,
		'bytes per death': Math.round(death.bytes / daemons),
		'CPU % of a core': Number((100 * cpuShare).toFixed(3)),
		'heap KB': Math.round(heapKb),
	};
}

type Site = ReturnType<typeof siteOf>;
type Spread = {readonly ms: number; readonly bytes: number};

function measureChange(site: Site, tally: Tally, steadyBytesPerSecond: number): Spread {
	const before = tally.bytes;
	let acceptedMs = 0;
	site.platform.write(versionOf('s0', 2), 1, () => {
		acceptedMs = site.nowMs;
	});
	site.run(STEP_MS);
	const isInForce = (id: string) => site.core(id)!.status().generations[CHANGED_OBJECT] === 2;
	return waitFor(site, {
		tally, before, steadyBytesPerSecond, sinceMs: acceptedMs,
	}, () => site.ids.every(id => isInForce(id)));
}

function measureDeath(site: Site, tally: Tally, steadyBytesPerSecond: number): Spread {
	const before = tally.bytes;
	const [dead, ...others] = site.ids;
	site.kill(dead);
	const knows = (id: string) => site.core(id)!.status().members.find(member => member.id === dead)?.status === 'dead';
	return waitFor(site, {
		tally, before, steadyBytesPerSecond, sinceMs: site.nowMs,
	}, () => others.every(id => knows(id)));
}

type Since = {readonly tally: Tally; readonly before: number; readonly steadyBytesPerSecond: number; readonly sinceMs: number};

function waitFor(site: Site, {tally, before, steadyBytesPerSecond, sinceMs}: Since, holds: () => boolean): Spread {
	for (let waitedMs = 0; waitedMs < IN_FORCE_MS * 2; waitedMs += STEP_MS) {
		if (holds()) {
			const ms = Math.round(site.nowMs - sinceMs);
			return {ms, bytes: Math.max(0, tally.bytes - before - (steadyBytesPerSecond * ms / 1000))};
		}

		site.run(STEP_MS);
	}

	return {ms: -1, bytes: tally.bytes - before};
}

// The slope of a figure over the sizes measured, by least squares.
function extrapolate(rows: readonly Row[], field: keyof Row): string {
	const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
	const xs = rows.map(row => row.daemons);
	const ys = rows.map(row => row[field]);
	const meanX = mean(xs);
	const meanY = mean(ys);
	const slope = mean(xs.map((x, at) => (x - meanX) * (ys[at] - meanY))) / mean(xs.map(x => (x - meanX) ** 2));
	return `${field}: ${slope.toPrecision(3)} per daemon, ${(meanY + (slope * (FULL_SIZE - meanX))).toPrecision(3)} at ${FULL_SIZE}`;
}

async function measureReal(): Promise<void> {
	const processes = new Processes();
	const hostOf = (at: number) => `127.0.4.${at + 1}`;
	try {
		processes.standIn('platform', PLATFORM);
		await sleep(500);
		await processes.apply(generateConfiguration({
			site: 'scale',
			callers: {resendForMs: 60_000, clockErrorMs: 1000},
			services: [{
				name: 'none', upstreams: 1, slots: 1, connections: 1, requests: [{
					name: 'get', kind: 'lookup', method: 'GET', path: '/', waitMs: 1000, calls: [],
				}],
			}],
		}));
		const hosts = Array.from({length: REAL_DAEMONS}, (_, at) => hostOf(at));
		const daemons = hosts.map((host, at) => processes.daemon(`d${at}`, host, `domain-${at % 8}`));
		await until(async () => {
			const all = await Promise.all(hosts.map(async host => statusOf(host)));
			return all.every(status => status?.isReady === true && status.members.length === REAL_DAEMONS);
		}, 60_000);
		await sleep(5000);
		const before = daemons.map(daemon => cpuMs(daemon));
		await sleep(REAL_MS);
		const shares = daemons.map((daemon, at) => 100 * (cpuMs(daemon) - before[at]) / REAL_MS);
		const residents = daemons.map(daemon => residentKb(daemon) / 1024);
		const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
		const cpu = `CPU ${mean(shares).toFixed(2)}% of a core each (most ${Math.max(...shares).toFixed(2)}%)`;
		const memory = `resident ${mean(residents).toFixed(0)} MB each (most ${Math.max(...residents).toFixed(0)} MB)`;
		console.log(`${REAL_DAEMONS} real daemons, idle: ${cpu}, ${memory}`);
	} finally {
		processes.stop();
	}
}

async function main(): Promise<void> {
	const cli = cac('bench:scale');
	cli.option('--seed <n>', 'Seed of the fakes', {default: 1});
	cli.option('--full', `Also ${FULL_SIZE} daemons' cores in this one process`);
	cli.option('--virtual', 'Leave out the real processes');
	cli.option('--real', 'Only the real processes');
	cli.help();
	const {options} = cli.parse();
	if (options.help === true) {
		return;
	}

	if (options.real === true) {
		await measureReal();
		return;
	}

	const rows = SIZES.map(size => measure(size, Number(options.seed)));
	console.table(rows);
	for (const field of ['B/s control', 'bytes per change', 'bytes per death', 'CPU % of a core', 'heap KB'] as const) {
		console.log(extrapolate(rows, field));
	}

	if (options.full === true) {
		console.table([measure(FULL_SIZE, Number(options.seed))]);
	}

	if (options.virtual !== true) {
		await measureReal();
	}
}

await main();
