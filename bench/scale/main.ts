import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {setTimeout as sleep} from 'node:timers/promises';
import process from 'node:process';
import {cac} from 'cac';
import {generateConfiguration} from '../../src/config/index.js';
import {encodeFrame} from '../../src/wire/index.js';
import {
	PLATFORM_ADDRESS, Processes, readCpuMs, readResidentKb, readStatus, waitUntil,
} from '../call/processes.js';
import {
	CHANGED_OBJECT, isControlFrame, createSite, createServiceVersion,
} from './site.js';

const DAEMON_COUNTS = [8, 50, 100, 200];
/** Time from the start in which reads and writes of the platform are counted. */
const STARTUP_MS = 1000;
/** How long the site then runs before the steady state is measured. */
const SETTLE_MS = 40_000;
/** Length of each measurement of the steady state. */
const STEADY_MS = 20_000;
/** Interval at which propagation is checked. */
const STEP_MS = 50;
/** Measurements of propagation give up after twice this time. */
const IN_FORCE_MS = 16_000;
/** Number of daemons that run as processes. */
const PROCESS_COUNT = 24;
/** How long the processor time of these processes is measured. */
const PROCESS_SAMPLE_MS = 20_000;
/** Number of daemons for which figures are extrapolated. */
const FULL_DAEMON_COUNT = 960;

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
const collectGarbage = runInNewContext('gc') as () => void;

/** Control frames sent at the whole site. */
type ControlTraffic = {bytes: number; frames: number};

function measureSite(daemons: number, seed: number): Row {
	collectGarbage();
	const heapBefore = process.memoryUsage().heapUsed;
	const site = createSite(daemons, seed);
	const traffic: ControlTraffic = {bytes: 0, frames: 0};
	site.run(STARTUP_MS);
	const {reads, writes} = site.platform;
	site.run(SETTLE_MS);
	collectGarbage();
	const heapKb = (process.memoryUsage().heapUsed - heapBefore) / 1024 / daemons;
	const startMs = performance.now();
	site.run(STEADY_MS);
	const cpuShare = (performance.now() - startMs) / STEADY_MS / daemons;
	site.network.onSend = (_from, frame) => {
		if (isControlFrame(frame)) {
			traffic.bytes += encodeFrame(frame).length;
			traffic.frames++;
		}
	};

	site.run(STEADY_MS);
	const steady = {...traffic};
	const seconds = STEADY_MS / 1000;
	const change = measureChange(site, traffic, steady.bytes / seconds);
	const links = Math.max(...site.ids.map(id => site.core(id)!.status().links.length));
	const watches = site.platform.watcherCount;
	const death = measureDeath(site, traffic, steady.bytes / seconds);
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

type Site = ReturnType<typeof createSite>;
/** Time until all daemons know a change (-1 if they don't in time), and the bytes of control frames beyond the steady rate. */
type Propagation = {readonly ms: number; readonly bytes: number};

function measureChange(site: Site, traffic: ControlTraffic, steadyBytesPerSecond: number): Propagation {
	const bytesBefore = traffic.bytes;
	let acceptedMs = 0;
	site.platform.write(createServiceVersion('s0', 2), 1, () => {
		acceptedMs = site.nowMs;
	});
	site.run(STEP_MS);
	const isInForce = (id: string) => site.core(id)!.status().generations[CHANGED_OBJECT] === 2;
	return measurePropagation(site, {
		traffic, bytesBefore, steadyBytesPerSecond, sinceMs: acceptedMs,
	}, () => site.ids.every(id => isInForce(id)));
}

function measureDeath(site: Site, traffic: ControlTraffic, steadyBytesPerSecond: number): Propagation {
	const bytesBefore = traffic.bytes;
	const [killed, ...others] = site.ids;
	site.kill(killed);
	const knowsDeath = (id: string) => site.core(id)!.status().members.find(member => member.id === killed)?.status === 'dead';
	return measurePropagation(site, {
		traffic, bytesBefore, steadyBytesPerSecond, sinceMs: site.nowMs,
	}, () => others.every(id => knowsDeath(id)));
}

type PropagationStart = {readonly traffic: ControlTraffic; readonly bytesBefore: number; readonly steadyBytesPerSecond: number; readonly sinceMs: number};

function measurePropagation(site: Site, {traffic, bytesBefore, steadyBytesPerSecond, sinceMs}: PropagationStart, isPropagated: () => boolean): Propagation {
	for (let waitedMs = 0; waitedMs < IN_FORCE_MS * 2; waitedMs += STEP_MS) {
		if (isPropagated()) {
			const ms = Math.round(site.nowMs - sinceMs);
			return {ms, bytes: Math.max(0, traffic.bytes - bytesBefore - (steadyBytesPerSecond * ms / 1000))};
		}

		site.run(STEP_MS);
	}

	return {ms: -1, bytes: traffic.bytes - bytesBefore};
}

// Describes the slope of a figure over the daemon counts (by least squares), and its value extrapolated to the full count.
function extrapolate(rows: readonly Row[], field: keyof Row): string {
	const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
	const xs = rows.map(row => row.daemons);
	const ys = rows.map(row => row[field]);
	const meanX = mean(xs);
	const meanY = mean(ys);
	const slope = mean(xs.map((x, at) => (x - meanX) * (ys[at] - meanY))) / mean(xs.map(x => (x - meanX) ** 2));
	return `${field}: ${slope.toPrecision(3)} per daemon, ${(meanY + (slope * (FULL_DAEMON_COUNT - meanX))).toPrecision(3)} at ${FULL_DAEMON_COUNT}`;
}

async function measureProcesses(): Promise<void> {
	const processes = new Processes();
	const hostOf = (at: number) => `127.0.4.${at + 1}`;
	try {
		processes.startStandIn('platform', PLATFORM_ADDRESS);
		await sleep(500);
		await processes.applyConfiguration(generateConfiguration({
			site: 'scale',
			callers: {resendForMs: 60_000, clockErrorMs: 1000},
			services: [{
				name: 'none', upstreams: 1, slots: 1, connections: 1, requests: [{
					name: 'get', kind: 'lookup', method: 'GET', path: '/', waitMs: 1000, calls: [],
				}],
			}],
		}));
		const hosts = Array.from({length: PROCESS_COUNT}, (_, at) => hostOf(at));
		const daemons = hosts.map((host, at) => processes.startDaemon(`d${at}`, host, `domain-${at % 8}`));
		await waitUntil(async () => {
			const all = await Promise.all(hosts.map(async host => readStatus(host)));
			return all.every(status => status?.isReady === true && status.members.length === PROCESS_COUNT);
		}, 60_000);
		await sleep(5000);
		const before = daemons.map(daemon => readCpuMs(daemon));
		await sleep(PROCESS_SAMPLE_MS);
		const shares = daemons.map((daemon, at) => 100 * (readCpuMs(daemon) - before[at]) / PROCESS_SAMPLE_MS);
		const residents = daemons.map(daemon => readResidentKb(daemon) / 1024);
		const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
		const cpu = `CPU ${mean(shares).toFixed(2)}% of a core each (most ${Math.max(...shares).toFixed(2)}%)`;
		const memory = `resident ${mean(residents).toFixed(0)} MB each (most ${Math.max(...residents).toFixed(0)} MB)`;
		console.log(`${PROCESS_COUNT} real daemons, idle: ${cpu}, ${memory}`);
	} finally {
		processes.killAll();
	}
}

async function main(): Promise<void> {
	const cli = cac('bench:scale');
	cli.option('--seed <n>', 'Seed of the simulated sites', {default: 1});
	cli.option('--full', `Also simulate ${FULL_DAEMON_COUNT} daemons in this process`);
	cli.option('--virtual', 'Measure only simulated sites');
	cli.option('--real', 'Measure only daemons that run as processes');
	cli.help();
	const {options} = cli.parse();
	if (options.help === true) {
		return;
	}

	if (options.real === true) {
		await measureProcesses();
		return;
	}

	const rows = DAEMON_COUNTS.map(size => measureSite(size, Number(options.seed)));
	console.table(rows);
	for (const field of ['B/s control', 'bytes per change', 'bytes per death', 'CPU % of a core', 'heap KB'] as const) {
		console.log(extrapolate(rows, field));
	}

	if (options.full === true) {
		console.table([measureSite(FULL_DAEMON_COUNT, Number(options.seed))]);
	}

	if (options.virtual !== true) {
		await measureProcesses();
	}
}

await main();
