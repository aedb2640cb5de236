import {spawn} from 'node:child_process';
import {writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {siteAnswers, requestTypes, createHostPlans} from '../demo/plan.js';
import {fetchRunsByService, countDuplicateRuns, countRunsReportedNotRun} from '../demo/results.js';
import {Site} from '../demo/site.js';
import {generateConfiguration} from '../src/config/index.js';
import {SITE_OBJECT_NAME} from '../src/core/index.js';
import {CallerStandIn} from '../standins/caller.js';

const SUBNET = 2;
const RATE = 120;
const TRIES = 4;
const FREEZE_MS = 6000;
const IN_FORCE_MS = 16_000;
const EXIT_MS = 8000;
const EXIT_CONFLICT = 3;

type Check = {readonly name: string; readonly fault?: string};

/** Proves what real processes, signals and sockets can show; prints a line for each check. */
export async function checkRealProcesses(): Promise<number> {
	const site = new Site(createHostPlans(), undefined, SUBNET);
	const checks: Check[] = [];
	try {
		await site.start(generateConfiguration(siteAnswers));
		const callers = new CallerStandIn(site.hosts.map(({address}) => address), requestTypes, TRIES);
		callers.start();
		callers.requestsPerSecond = RATE;
		await sleep(1500);
		checks.push(await checkPlatform(site), await checkRace(site));
		await checkFreeze(site);
		await checkKill(site, callers);
		checks.push(await checkStop(site, callers));
		callers.requestsPerSecond = 0;
		await sleep(5000);
		callers.stop();
		checks.push(...await checkAnswers(site, callers));
	} finally {
		await site.stop();
	}

	for (const {name, fault} of checks) {
		console.log(`real processes | ${name} | ${fault ?? 'holds'}`);
	}

	const faults = checks.filter(({fault}) => fault !== undefined).length;
	console.log(JSON.stringify({real: checks.length, violations: faults}));
	return faults;
}

async function command(site: Site, declaration: unknown): Promise<number> {
	const file = path.join(os.tmpdir(), `comfreydyke-proof-${process.pid}-${Math.floor(performance.now() * 1000)}.json`);
	await writeFile(file, JSON.stringify(declaration));
	const child = spawn(process.execPath, [path.resolve('.build/src/cli/main.mjs'), 'apply', file, '--platform', site.platformUrl], {stdio: 'ignore'});
	return new Promise(resolve => {
		child.once('exit', code => {
			resolve(code ?? -1);
		});
	});
}

function declarationWith(retryPot: number) {
	const declaration = generateConfiguration(siteAnswers);
	return {...declaration, site: {...declaration.site, retryPot}};
}

async function generations(site: Site): Promise<number[]> {
	const up = site.hosts.filter(({daemon}) => daemon?.exitCode === null && daemon.signalCode === null);
	const all = await Promise.all(up.map(async host => site.fetchStatus(host)));
	return all.map(status => status.generations[SITE_OBJECT_NAME] ?? 0);
}

// A write whose answer is lost, then an outage: what was accepted is in force everywhere.
async function checkPlatform(site: Site): Promise<Check> {
	const name = 'accepted with its answer lost, then the platform down: in force everywhere in time';
	await site.setFaults({loseAnswers: 1});
	const exitCode = await command(site, declarationWith(2));
	await site.setFaults({outage: true, loseAnswers: 0});
	const startMs = performance.now();
	while (performance.now() - startMs < IN_FORCE_MS) {
		// eslint-disable-next-line no-await-in-loop
		const all = await generations(site);
		if (all.every(generation => generation === 2)) {
			// eslint-disable-next-line no-await-in-loop
			await site.setFaults({outage: false});
			return {name, fault: exitCode === 0 ? undefined : `apply exited ${exitCode}`};
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(100);
	}

	await site.setFaults({outage: false});
	const left = await generations(site);
	return {name, fault: `generations ${left.join(' ')}`};
}

async function checkRace(site: Site): Promise<Check> {
	const name = 'three operators race: each generation has one winner and the others are told';
	const before = Math.max(...await generations(site));
	const codes = await Promise.all([4, 5, 6].map(async pot => command(site, declarationWith(pot))));
	const wins = codes.filter(code => code === 0).length;
	const losses = codes.filter(code => code === EXIT_CONFLICT).length;
	await sleep(1500);
	const after = await generations(site);
	const isRight = wins + losses === codes.length && wins >= 1 && after.every(generation => generation === before + wins);
	return {name, fault: isRight ? undefined : `exit codes ${codes.join(' ')}, generations ${before} to ${after.join(' ')}`};
}

async function checkFreeze(site: Site): Promise<void> {
	const frozen = site.hosts.find(({plan}) => plan.id === 'desk-a')!;
	frozen.daemon?.kill('SIGSTOP');
	await sleep(FREEZE_MS);
	frozen.daemon?.kill('SIGCONT');
	await sleep(2000);
}

async function checkKill(site: Site, callers: CallerStandIn): Promise<void> {
	const killed = site.hosts.find(({plan}) => plan.id === 'records-b')!;
	killed.daemon?.kill('SIGKILL');
	callers.removeDaemon(killed.address);
	await sleep(1500);
	await site.startHost(killed);
	await sleep(1500);
}

async function checkStop(site: Site, callers: CallerStandIn): Promise<Check> {
	const stopped = site.hosts.find(({plan}) => plan.id === 'desk-b')!;
	const before = callers.cutOffCounts.get(stopped.address) ?? 0;
	const hasExited = new Promise<number | null>(resolve => {
		stopped.daemon?.once('exit', resolve);
	});
	stopped.daemon?.kill('SIGTERM');
	await sleep(300);
	callers.removeDaemon(stopped.address);
	const code = await Promise.race([hasExited, sleep(EXIT_MS, undefined)]);
	const cut = (callers.cutOffCounts.get(stopped.address) ?? 0) - before;
	const fault = code === 0 && cut === 0 ? undefined : `exit code ${String(code)}, ${cut} requests cut off`;
	return {name: 'SIGTERM under load cuts off no request and the process leaves', fault};
}

async function checkAnswers(site: Site, callers: CallerStandIn): Promise<Check[]> {
	const runs = await fetchRunsByService(site);
	let wrong = 0;
	for (const tally of callers.countsByClass.values()) {
		wrong += tally.wrong;
	}

	const doubled = countDuplicateRuns(runs.get('desk') ?? []);
	const lies = countRunsReportedNotRun(runs.get('desk') ?? [], callers);
	return [
		{name: 'every caller got its own whole answer', fault: wrong === 0 ? undefined : `${wrong} wrong answers`},
		{name: 'no submission ran twice through SIGKILL, SIGSTOP and restarts', fault: doubled === 0 ? undefined : `${doubled} doubled`},
		{name: 'nothing that was told not-run had run', fault: lies === 0 ? undefined : `${lies} had run`},
	];
}
