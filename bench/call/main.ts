import {type ChildProcess} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {cac} from 'cac';
import {generateConfiguration} from '../../src/config/index.js';
import {measureCore} from './core.js';
import {
	Load, type Timing, drive, emptyTiming, percentileMs,
} from './load.js';
import {
	DAEMON_PORT, PLATFORM, Processes, TARGET_PORT, announce, cpuMs, residentKb, statusOf, until,
} from './processes.js';

const EDGE = '127.0.3.1';
const SERVICE = '127.0.3.2';
const SLOTS = 2000;
const RATES = [200, 1000, 3000];
const SIZES = [200, 16_384];
const WARM_MS = 3000;
const TARGET_ADDED_MS = 0.54;
const HELD = 1000;
const HOLD_MS = 4000;

type Row = {
	readonly rate: number;
	readonly bytes: number;
	readonly direct: Timing;
	readonly through: Timing;
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

async function measureRate(rate: number, bytes: number, forMs: number, daemons: {edge: ChildProcess; service: ChildProcess}): Promise<Row> {
	const direct = {load: new Load(`http://${SERVICE}:${TARGET_PORT}`, `/get?size=${bytes}`), timing: emptyTiming()};
	const through = {load: new Load(`http://${EDGE}:${DAEMON_PORT}`, `/echo/get?size=${bytes}`), timing: emptyTiming()};
	await drive([{...direct, timing: emptyTiming()}, {...through, timing: emptyTiming()}], rate, WARM_MS);
	const before = {edge: cpuMs(daemons.edge), service: cpuMs(daemons.service)};
	await drive([direct, through], rate, forMs);
	const edgeCpuMs = cpuMs(daemons.edge) - before.edge;
	const serviceCpuMs = cpuMs(daemons.service) - before.service;
	await Promise.all([direct.load.close(), through.load.close()]);
	return {
		rate, bytes, direct: direct.timing, through: through.timing, edgeCpuMs, serviceCpuMs,
	};
}

function print(rows: readonly Row[]): void {
	console.table(rows.map(({rate, bytes, direct, through, edgeCpuMs, serviceCpuMs}) => {
		const added = (percentile: number) => (percentileMs(through, percentile) - percentileMs(direct, percentile)).toFixed(2);
		return {
			'calls/s': rate,
			bytes,
			'direct p50': percentileMs(direct, 50).toFixed(2),
			'direct p99': percentileMs(direct, 99).toFixed(2),
			'added p50': added(50),
			'added p99': added(99),
			'added p99.9': added(99.9),
			'edge CPU µs/call': Math.round(1000 * edgeCpuMs / through.done),
			'service CPU µs/call': Math.round(1000 * serviceCpuMs / through.done),
			failed: direct.failed + through.failed,
		};
	}));
	const misses = rows.filter(({direct, through}) => percentileMs(through, 99) - percentileMs(direct, 99) > TARGET_ADDED_MS);
	console.log(`target: ${TARGET_ADDED_MS} ms added at p99; missed in ${misses.length} of ${rows.length} rows`);
}

// Idle connections and calls that are held for a while, by what they add to the memory.
async function measureMemory({edge, service}: {edge: ChildProcess; service: ChildProcess}): Promise<void> {
	const before = {edge: residentKb(edge), service: residentKb(service)};
	const timing = emptyTiming();
	const loads = Array.from({length: HELD / 50}, () => new Load(`http://${EDGE}:${DAEMON_PORT}`, `/echo/get?size=200&waitMs=${HOLD_MS}`));
	for (let at = 0; at < HELD; at++) {
		loads[at % loads.length].send(timing);
	}

	await sleep(HOLD_MS / 2);
	const during = {edge: residentKb(edge), service: residentKb(service)};
	await sleep(HOLD_MS);
	const after = {edge: residentKb(edge), service: residentKb(service)};
	console.table(Object.entries(before).map(([role, kb]) => {
		const heldKb = during[role as 'edge'];
		return {
			role, 'KB before': kb, [`KB with ${HELD} in flight`]: heldKb, 'KB each, with its connection': ((heldKb - kb) / HELD).toFixed(1), 'KB with idle connections': after[role as 'edge'],
		};
	}));
	console.log(`${timing.failed} of the held calls failed`);
	await Promise.all(loads.map(async load => load.close()));
}

async function isEachReady(hosts: readonly string[]): Promise<boolean> {
	const all = await Promise.all(hosts.map(async host => statusOf(host)));
	return all.every(status => status?.isReady === true);
}

async function main(): Promise<void> {
	const cli = cac('bench:call');
	cli.option('--seconds <n>', 'How long each rate is driven', {default: 8});
	cli.option('--rate <n>', 'Only this rate');
	cli.option('--bytes <n>', 'Only this size');
	cli.option('--core', 'Only the core');
	cli.option('--flags <flags>', 'Flags of node for the daemons, for comparing');
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
		processes.standIn('platform', PLATFORM);
		processes.standIn('echo', {host: SERVICE, port: TARGET_PORT});
		await sleep(500);
		await processes.apply(declaration);
		const flags = typeof options.flags === 'string' ? options.flags.split(' ') : [];
		const edge = processes.daemon('edge', EDGE, 'a', flags);
		const service = processes.daemon('service', SERVICE, 'a', flags);
		await until(async () => isEachReady([EDGE, SERVICE]));
		await announce(SERVICE, 'echo', SLOTS);
		const renewal = setInterval(() => {
			void announce(SERVICE, 'echo', SLOTS);
		}, 1000);
		await until(async () => {
			const status = await statusOf(EDGE);
			return status?.members.some(member => member.service === 'echo') === true;
		});
		const rows: Row[] = [];
		for (const bytes of SIZES) {
			for (const rate of RATES) {
				if ((options.rate ?? rate) === rate && (options.bytes ?? bytes) === bytes) {
					// eslint-disable-next-line no-await-in-loop
					rows.push(await measureRate(rate, bytes, 1000 * Number(options.seconds), {edge, service}));
				}
			}
		}

		print(rows);
		await measureMemory({edge, service});
		clearInterval(renewal);
	} finally {
		processes.stop();
	}
}

await main();
