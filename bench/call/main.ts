import {type ChildProcess} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {cac} from 'cac';
import {generateConfiguration} from '../../src/config/index.js';
import {measureCore} from './core.js';
import {
	LoadGenerator, type Timing, driveLoads, createTiming, percentileMs,
} from './load.js';
import {
	DAEMON_PORT, PLATFORM_ADDRESS, Processes, TARGET_PORT, announceTarget, readCpuMs, readResidentKb, readStatus, waitUntil,
} from './processes.js';

const EDGE_HOST = '127.0.3.1';
const SERVICE_HOST = '127.0.3.2';
const SLOTS = 2000;
const RATES_PER_SECOND = [200, 1000, 3000];
const BODY_SIZES_BYTES = [200, 16_384];
/** How long load runs at a rate before it is measured. */
const WARM_UP_MS = 3000;
/** Target for the latency that two daemons add to a call, at the 99th percentile. */
const MAX_ADDED_P99_MS = 0.54;
/** Number of calls that are in flight at once while memory is measured. */
const HELD_CALLS = 1000;
/** How long the target holds each of these calls. */
const HOLD_MS = 4000;

/** Results at one rate and body size: direct calls to the target, and calls through both daemons. */
type Row = {
	readonly rate: number;
	readonly bytes: number;
	readonly direct: Timing;
	readonly viaDaemons: Timing;
	readonly edgeCpuMs: number;
	readonly serviceCpuMs: number;
};

const declaration = generateConfiguration({
	site: 'bench',
	callers: {resendForMs: 60_000, clockErrorMs: 1000},
	services: [{
		name: 'echo', upstreams: 1, slots: SLOTS, connections: SLOTS, requests: [{
			name: 'get', kind: 'lookup', method: 'GET', path: '/', waitMs: 10_000, calls: [],
		}],
	}],
});

async function measureRate(rate: number, bytes: number, durationMs: number, daemons: {edge: ChildProcess; service: ChildProcess}): Promise<Row> {
	const direct = {load: new LoadGenerator(`http://${SERVICE_HOST}:${TARGET_PORT}`, `/get?size=${bytes}`), timing: createTiming()};
	const viaDaemons = {load: new LoadGenerator(`http://${EDGE_HOST}:${DAEMON_PORT}`, `/echo/get?size=${bytes}`), timing: createTiming()};
	await driveLoads([{...direct, timing: createTiming()}, {...viaDaemons, timing: createTiming()}], rate, WARM_UP_MS);
	const before = {edge: readCpuMs(daemons.edge), service: readCpuMs(daemons.service)};
	await driveLoads([direct, viaDaemons], rate, durationMs);
	const edgeCpuMs = readCpuMs(daemons.edge) - before.edge;
	const serviceCpuMs = readCpuMs(daemons.service) - before.service;
	await Promise.all([direct.load.close(), viaDaemons.load.close()]);
	return {
		rate, bytes, direct: direct.timing, viaDaemons: viaDaemons.timing, edgeCpuMs, serviceCpuMs,
	};
}

function printTable(rows: readonly Row[]): void {
	console.table(rows.map(({rate, bytes, direct, viaDaemons, edgeCpuMs, serviceCpuMs}) => {
		const formatAddedMs = (percentile: number) => (percentileMs(viaDaemons, percentile) - percentileMs(direct, percentile)).toFixed(2);
		return {
			'calls/s': rate,
			bytes,
			'direct p50': percentileMs(direct, 50).toFixed(2),
			'direct p99': percentileMs(direct, 99).toFixed(2),
			'added p50': formatAddedMs(50),
			'added p99': formatAddedMs(99),
			'added p99.9': formatAddedMs(99.9),
			'edge CPU µs/call': Math.round(1000 * edgeCpuMs / viaDaemons.done),
			'service CPU µs/call': Math.round(1000 * serviceCpuMs / viaDaemons.done),
			failed: direct.failed + viaDaemons.failed,
		};
	}));
	const missedRows = rows.filter(({direct, viaDaemons}) => percentileMs(viaDaemons, 99) - percentileMs(direct, 99) > MAX_ADDED_P99_MS);
	console.log(`target: ${MAX_ADDED_P99_MS} ms added at p99; missed in ${missedRows.length} of ${rows.length} rows`);
}

// Prints how much resident memory calls in flight, and then their idle connections, add to each daemon.
async function measureMemory({edge, service}: {edge: ChildProcess; service: ChildProcess}): Promise<void> {
	const before = {edge: readResidentKb(edge), service: readResidentKb(service)};
	const timing = createTiming();
	const loads = Array.from({length: HELD_CALLS / 50}, () => new LoadGenerator(`http://${EDGE_HOST}:${DAEMON_PORT}`, `/echo/get?size=200&waitMs=${HOLD_MS}`));
	for (let at = 0; at < HELD_CALLS; at++) {
		loads[at % loads.length].send(timing);
	}

	await sleep(HOLD_MS / 2);
	const during = {edge: readResidentKb(edge), service: readResidentKb(service)};
	await sleep(HOLD_MS);
	const after = {edge: readResidentKb(edge), service: readResidentKb(service)};
	console.table(Object.entries(before).map(([role, kb]) => {
		const heldKb = during[role as 'edge'];
		return {
			role,
			'KB before': kb,
			[`KB with ${HELD_CALLS} in flight`]: heldKb,
			'KB each, with its connection': ((heldKb - kb) / HELD_CALLS).toFixed(1),
			'KB with idle connections': after[role as 'edge'],
		};
	}));
	console.log(`${timing.failed} of the held calls failed`);
	await Promise.all(loads.map(async load => load.close()));
}

async function isEachReady(hosts: readonly string[]): Promise<boolean> {
	const all = await Promise.all(hosts.map(async host => readStatus(host)));
	return all.every(status => status?.isReady === true);
}

async function main(): Promise<void> {
	const cli = cac('bench:call');
	cli.option('--seconds <n>', 'Seconds of load at each rate', {default: 8});
	cli.option('--rate <n>', 'Measure only this rate, in calls a second');
	cli.option('--bytes <n>', 'Measure only this body size, in bytes');
	cli.option('--core', 'Measure only the core, without processes');
	cli.option('--flags <flags>', 'Node.js flags for the daemons, to compare settings');
	cli.help();
	const {options} = cli.parse();
	if (options.help === true) {
		return;
	}

	if (options.rate === undefined) {
		measureCore();
	}

	if (options.core === true) {
		return;
	}

	const processes = new Processes();
	try {
		processes.startStandIn('platform', PLATFORM_ADDRESS);
		processes.startStandIn('echo', {host: SERVICE_HOST, port: TARGET_PORT});
		await sleep(500);
		await processes.applyConfiguration(declaration);
		const flags = typeof options.flags === 'string' ? options.flags.split(' ') : [];
		const edge = processes.startDaemon('edge', EDGE_HOST, 'a', flags);
		const service = processes.startDaemon('service', SERVICE_HOST, 'a', flags);
		await waitUntil(async () => isEachReady([EDGE_HOST, SERVICE_HOST]));
		await announceTarget(SERVICE_HOST, 'echo', SLOTS);
		const announceTimer = setInterval(() => {
			void announceTarget(SERVICE_HOST, 'echo', SLOTS);
		}, 1000);
		await waitUntil(async () => {
			const status = await readStatus(EDGE_HOST);
			return status?.members.some(member => member.service === 'echo') === true;
		});
		const rows: Row[] = [];
		for (const bytes of BODY_SIZES_BYTES) {
			for (const rate of RATES_PER_SECOND) {
				if ((options.rate ?? rate) === rate && (options.bytes ?? bytes) === bytes) {
					// eslint-disable-next-line no-await-in-loop
					rows.push(await measureRate(rate, bytes, 1000 * Number(options.seconds), {edge, service}));
				}
			}
		}

		printTable(rows);
		await measureMemory({edge, service});
		clearInterval(announceTimer);
	} finally {
		processes.killAll();
	}
}

await main();
