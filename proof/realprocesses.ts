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
/** Requests per second of the callers. */
const REQUESTS_PER_SECOND = 120;
const TRIES = 4;
/** How long a daemon stays stopped by SIGSTOP. */
const FREEZE_MS = 6000;
/** An accepted configuration must be in force everywhere within this time. */
const IN_FORCE_MS = 16_000;
/** A daemon must exit within this time after SIGTERM. */
const EXIT_MS = 8000;
/** Exit code of `apply` when another write came first. */
const EXIT_CONFLICT = 3;

type Check = {readonly name: string; readonly fault?: string};

/** Checks guarantees on real processes, signals and sockets; prints a line for each check and returns the number of violations. */
export async function checkRealProcesses(): Promise<number> {
	const site = new Site(createHostPlans(), undefined, SUBNET);
	const checks: Check[] = [];
	try {
		await site.start(generateConfiguration(siteAnswers));
		const callers = new CallerStandIn(site.hosts.map(({address}) => address), requestTypes, TRIES);
		callers.start();
		callers.requestsPerSecond = REQUESTS_PER_SECOND;
		await sleep(1500);
		checks.push(await checkPlatform(site), await checkRace(site));
		await freezeDaemon(site);
		await killAndRestartDaemon(site, callers);
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

async function runApply(site: Site, declaration: unknown): Promise<number> {
	const file = path.join(os.tmpdir(), `comfreydyke-proof-${process.pid}-${Math.floor(performance.now() * 1000)}.json`);
	await writeFile(file, JSON.stringify(declaration));
	const child = spawn(process.execPath, [path.resolve('.build/src/cli/main.mjs'), 'apply', file, '--platform', site.platformUrl], {stdio: 'ignore'});
	return new Promise(resolve => {
		child.once('exit', code => {
			resolve(code ?? -1);
		});
	});
}

function createDeclaration(retryPot: number) {
	const declaration = generateConfiguration(siteAnswers);
	return {...declaration, site: {...declaration.site, retryPot}};
}

async function readGenerations(site: Site): Promise<number[]> {
	const up = site.hosts.filter(({daemon}) => daemon?.exitCode === null && daemon.signalCode === null);
	const all = await Promise.all(up.map(async host => site.fetchStatus(host)));
	return all.map(status => status.generations[SITE_OBJECT_NAME] ?? 0);
}

// Loses the platform's answer to a write and then stops the platform; the accepted configuration must still reach every host.
async function checkPlatform(site: Site): Promise<Check> {
	const name = 'accepted with its answer lost, then the platform down: in force everywhere in time';
	await site.setFaults({loseAnswers: 1});
	const exitCode = await runApply(site, createDeclaration(2));
	await site.setFaults({outage: true, loseAnswers: 0});
	const startMs = performance.now();
	while (performance.now() - startMs < IN_FORCE_MS) {
		// eslint-disable-next-line no-await-in-loop
		const all = await readGenerations(site);
		if (all.every(generation => generation === 2)) {
			// eslint-disable-next-line no-await-in-loop
			await site.setFaults({outage: false});
			return {name, fault: exitCode === 0 ? undefined : `apply exited with code ${exitCode}, expected 0`};
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(100);
	}

	await site.setFaults({outage: false});
	const left = await readGenerations(site);
	return {name, fault: `generations in force ${left.join(' ')}, expected 2 everywhere`};
}

async function checkRace(site: Site): Promise<Check> {
	const name = 'three operators race: each generation has one winner and the others are told';
	const before = Math.max(...await readGenerations(site));
	const codes = await Promise.all([4, 5, 6].map(async retryTokens => runApply(site, createDeclaration(retryTokens))));
	const wins = codes.filter(code => code === 0).length;
	const losses = codes.filter(code => code === EXIT_CONFLICT).length;
	await sleep(1500);
	const after = await readGenerations(site);
	const isRight = wins + losses === codes.length && wins >= 1 && after.every(generation => generation === before + wins);
	return {name, fault: isRight ? undefined : `exit codes ${codes.join(' ')}, generations ${before} to ${after.join(' ')}`};
}

async function freezeDaemon(site: Site): Promise<void> {
	const frozen = site.hosts.find(({plan}) => plan.id === 'desk-a')!;
	frozen.daemon?.kill('SIGSTOP');
	await sleep(FREEZE_MS);
	frozen.daemon?.kill('SIGCONT');
	await sleep(2000);
}

async function killAndRestartDaemon(site: Site, callers: CallerStandIn): Promise<void> {
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
	const fault = code === 0 && cut === 0 ? undefined : `exit code ${String(code)}, ${cut} requests interrupted`;
	return {name: 'SIGTERM under load cuts off no request and the process leaves', fault};
}

async function checkAnswers(site: Site, callers: CallerStandIn): Promise<Check[]> {
	const runs = await fetchRunsByService(site);
	let wrongAnswerCount = 0;
	for (const tally of callers.countsByClass.values()) {
		wrongAnswerCount += tally.wrong;
	}

	const doubleRunCount = countDuplicateRuns(runs.get('desk') ?? []);
	const falseNotRunCount = countRunsReportedNotRun(runs.get('desk') ?? [], callers);
	return [
		{name: 'every caller got its own whole answer', fault: wrongAnswerCount === 0 ? undefined : `${wrongAnswerCount} wrong answers`},
		{name: 'no submission ran twice through SIGKILL, SIGSTOP and restarts', fault: doubleRunCount === 0 ? undefined : `${doubleRunCount} submissions ran more than once`},
		{name: 'nothing that was told not-run had run', fault: falseNotRunCount === 0 ? undefined : `${falseNotRunCount} submissions answered not-run had run`},
	];
}
