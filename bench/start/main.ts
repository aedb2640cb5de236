/**
 * Starts daemons of the bundle as the deploy file does and prints what a call
 * costs them as a function of the calls that each has served since its start;
 * the start and the idle second stand apart. All figures are processor time.
 * With `--profile` it also prints the self time by part and function, and with
 * `--idle` of the idle seconds alone, without any call; `--daemons=N` for each service.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {StoreStandin} from '../../standins/store.js';
import {BenchDaemon, type Usage} from './daemon.js';
import {ProfileTable} from './profile.js';
import {
	BenchCallers, BenchTarget, SERVICES, SITE,
} from './site.js';

const IDLE_SECONDS = 4;
/** The calls served since the start, a daemon, at which the cost is read, by the calls a second. */
const STAGES: ReadonlyMap<number, readonly number[]> = new Map([[50, [100, 1000]], [150, [100, 1000, 3000]], [500, [100, 1000, 3000, 10_000]]]);

const rates = process.argv.filter(text => /^\d+$/v.test(text)).map(Number);
const isProfiling = process.argv.includes('--profile');
const isIdle = process.argv.includes('--idle');
const daemonsPerService = Number(process.argv.find(text => text.startsWith('--daemons='))?.slice('--daemons='.length) ?? 2);
/** The folder of the bundle, so that two can be measured in turn. */
const bundleFolder = process.argv.find(text => text.startsWith('--bundle='))?.slice('--bundle='.length) ?? 'target';
/** The numbers of calls at which the cost is read, in place of the usual ones. */
const chosenStages = process.argv.find(text => text.startsWith('--stages='))?.slice('--stages='.length).split(',').map(Number);
const nodeFlags = process.argv.filter(text => text.startsWith('--flag=')).map(text => text.slice('--flag='.length));

const sumOf = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0);

const readUsage = async (daemons: readonly BenchDaemon[]): Promise<Usage> => {
	const usages = await Promise.all(daemons.map(async daemon => daemon.usage()));
	return {
		totalMs: sumOf(usages.map(({totalMs}) => totalMs)),
		mainThreadMs: sumOf(usages.map(({mainThreadMs}) => mainThreadMs)),
		systemMs: sumOf(usages.map(({systemMs}) => systemMs)),
		garbageMs: sumOf(usages.map(({garbageMs}) => garbageMs)),
		peakMb: Math.max(...usages.map(({peakMb}) => peakMb)),
	};
};

/** Plays one rate of calls, in calls a second for each daemon. */
async function playRate(rate: number, stages: readonly number[]): Promise<void> {
	const store = new StoreStandin();
	await store.listen();
	store.put('config', 'main', SITE);
	const folder = mkdtempSync(path.join(tmpdir(), 'comfreydyke-bench-'));
	const targets = SERVICES.flatMap(service => Array.from({length: daemonsPerService}, (_, index) => new BenchTarget(`${service}-${index}`, service)));
	await Promise.all(targets.map(async target => target.listen()));
	const daemons = targets.map(target => new BenchDaemon(target, folder));
	await Promise.all(daemons.map(async daemon => daemon.start(store.address, bundleFolder, nodeFlags)));
	const started = await readUsage(daemons);
	// The first moments of a mesh, in which links open, belong to neither the start nor the idle second.
	await sleep(isIdle ? 10_000 : 2000);
	const table = new ProfileTable(`${bundleFolder}/daemon.cjs.map`);
	const startProfiles = async () => Promise.all(daemons.map(async daemon => daemon.startProfile()));
	const addProfiles = async () => {
		for (const profile of await Promise.all(daemons.map(async daemon => daemon.stopProfile()))) {
			table.add(profile);
		}
	};

	if (isIdle && isProfiling) {
		await startProfiles();
	}

	let last = await readUsage(daemons);
	await sleep(IDLE_SECONDS * 1000);
	const idle = await readUsage(daemons);
	if (isIdle && isProfiling) {
		await addProfiles();
	}

	const idleMsPerSecond = (idle.totalMs - last.totalMs) / daemons.length / IDLE_SECONDS;
	console.log(`rate=${rate} start_ms=${(started.totalMs / daemons.length).toFixed(0)} idle_ms_per_s=${idleMsPerSecond.toFixed(2)}`);
	const callers = new BenchCallers(daemons.filter(({target}) => target.service === SERVICES[0]).map(({requestsPort}) => requestsPort));
	let served = 0;
	last = idle;
	for (const stage of isIdle ? [] : stages) {
		if (isProfiling) {
			// eslint-disable-next-line no-await-in-loop -- one stage after another
			await startProfiles();
			// eslint-disable-next-line no-await-in-loop
			last = await readUsage(daemons);
		}

		const calls = (stage - served) * daemons.length;
		const startMs = performance.now();
		// Each root request makes one nested call, so half of the calls are root requests.
		// eslint-disable-next-line no-await-in-loop
		await callers.send(calls / 2, rate * daemons.length / 2);
		const seconds = (performance.now() - startMs) / 1000;
		// eslint-disable-next-line no-await-in-loop
		const usage = await readUsage(daemons);
		const idleMs = idleMsPerSecond * daemons.length * seconds;
		const perCall = (after: number, before: number) => ((after - before) / calls).toFixed(3);
		console.log([
			`rate=${rate} calls=${served}-${stage} ms_per_call=${((usage.totalMs - last.totalMs - idleMs) / calls).toFixed(3)}`,
			`of_it_main_thread=${perCall(usage.mainThreadMs - idleMs, last.mainThreadMs)} kernel=${perCall(usage.systemMs, last.systemMs)} garbage=${perCall(usage.garbageMs, last.garbageMs)}`,
			`peak_mb=${usage.peakMb.toFixed(0)} calls_per_s=${(calls / daemons.length / seconds).toFixed(0)}`,
		].join(' '));
		if (isProfiling) {
			// eslint-disable-next-line no-await-in-loop
			await addProfiles();
		}

		served = stage;
		last = usage;
	}

	const unit = isIdle ? 's' : 'call';
	const count = (isIdle ? IDLE_SECONDS : served) * daemons.length;
	const print = (kind: string, sums: ReadonlyMap<string, number>, lines: number) => {
		for (const [name, ms] of [...sums].toSorted(([, a], [, b]) => b - a).slice(0, lines)) {
			console.log(`${kind} us_per_${unit}=${(ms * 1000 / count).toFixed(1).padStart(6)} ${name}`);
		}
	};

	if (isProfiling) {
		print('part', table.parts, 20);
		print('function', table.functions, 70);
	}

	console.log(`rate=${rate} bad=${callers.bad}`);
	await Promise.all(daemons.map(async daemon => daemon.stop()));
	store.close();
}

for (const rate of rates.length === 0 ? STAGES.keys() : rates) {
	// eslint-disable-next-line no-await-in-loop -- one rate after another, so that they don't share the processor
	await playRate(rate, chosenStages ?? STAGES.get(rate) ?? [100, 1000, 3000]);
}

// eslint-disable-next-line unicorn/no-process-exit -- kept connections would keep the process running
process.exit(0);
