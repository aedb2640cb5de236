import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {cac} from 'cac';
import {generateConfiguration} from '../src/config/index.js';
import {CallerStandIn, type RequestCounts, createRequestCounts} from '../standins/caller.js';
import {countDuplicateRuns, countRunsReportedNotRun, fetchRunsByService} from './results.js';
import {siteAnswers, requestTypes, createHostPlans} from './plan.js';
import {Site} from './site.js';

const STEADY_REQUESTS_PER_SECOND = 150;
const SURGE_REQUESTS_PER_SECOND = 900;
const MAX_TRIES = 4;
const SMOKE_PHASES = {steadyMs: 3000, surgeMs: 5000, calmMs: 3000};
const FULL_PHASES = {steadyMs: 5000, surgeMs: 10_000, calmMs: 8000};

async function findMaxRetries(site: Site): Promise<number> {
	let maxRetries = 0;
	for (const host of site.hosts) {
		if (host.daemon?.exitCode === null && host.daemon.signalCode === null) {
			// eslint-disable-next-line no-await-in-loop
			const status = await site.fetchStatus(host);
			maxRetries = Math.max(maxRetries, status.maxRetries);
		}
	}

	return maxRetries;
}

function printCounts(countsByClass: ReadonlyMap<string, RequestCounts>): RequestCounts {
	const total = createRequestCounts();
	const rows = [...countsByClass].map(([name, counts]) => {
		for (const field of Object.keys(total) as Array<keyof RequestCounts>) {
			total[field] += counts[field];
		}

		return {class: name, ...counts};
	});
	console.table(rows);
	return total;
}

async function main(): Promise<void> {
	const cli = cac('demo');
	cli.option('--binary', 'Run the daemons from the built binary dist/comfreydyke');
	cli.option('--smoke', 'Run shorter phases, for CI');
	cli.help();
	const {options} = cli.parse();
	if (options.help === true) {
		return;
	}

	const phases = options.smoke === true ? SMOKE_PHASES : FULL_PHASES;
	const site = new Site(createHostPlans(), options.binary === true ? 'dist/comfreydyke' : undefined);
	process.once('SIGINT', () => {
		void site.stop();
	});
	console.log(`starting ${site.hosts.length} daemons, the same number of targets, and the platform`);
	try {
		process.exitCode = await runDemo(site, phases);
	} finally {
		await site.stop();
	}
}

async function runDemo(site: Site, phases: typeof FULL_PHASES): Promise<number> {
	await site.start(generateConfiguration(siteAnswers));
	const callers = new CallerStandIn(site.hosts.map(({address}) => address), requestTypes, MAX_TRIES);
	const progress = setInterval(() => {
		const done = [...callers.countsByClass].map(([name, {sent, complete, notRun, unknown}]) => `${name} sent ${sent} complete ${complete} not-run ${notRun} unknown ${unknown}`);
		console.log(`  rate ${callers.requestsPerSecond}/s, open ${callers.openRequests} | ${done.join(' | ')}`);
	}, 1000);
	callers.start();
	console.log(`steady load: ${STEADY_REQUESTS_PER_SECOND} requests/s through a chain of three services`);
	callers.requestsPerSecond = STEADY_REQUESTS_PER_SECOND;
	await sleep(phases.steadyMs);
	console.log(`overload: ${SURGE_REQUESTS_PER_SECOND} requests/s, above capacity; callers resend without back-off`);
	callers.requestsPerSecond = SURGE_REQUESTS_PER_SECOND;
	await sleep(phases.surgeMs / 2);
	const killed = site.hosts.find(({plan}) => plan.id === 'records-b')!;
	console.log(`killing the daemon ${killed.plan.id}`);
	killed.daemon?.kill('SIGKILL');
	callers.removeDaemon(killed.address);
	await sleep(phases.surgeMs / 2);
	console.log('end of the overload');
	callers.requestsPerSecond = STEADY_REQUESTS_PER_SECOND;
	await sleep(phases.calmMs / 2);
	const stopped = site.hosts.find(({plan}) => plan.id === 'desk-b')!;
	console.log(`stopping the daemon ${stopped.plan.id} gracefully`);
	const isStopped = new Promise(resolve => {
		stopped.daemon?.once('exit', resolve);
	});
	callers.removeDaemon(stopped.address);
	stopped.daemon?.kill('SIGTERM');
	await sleep(phases.calmMs / 2);
	callers.requestsPerSecond = 0;
	for (let waits = 0; callers.openRequests > 0 && waits < 60; waits++) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(100);
	}

	callers.stop();
	clearInterval(progress);
	const exitCode = await Promise.race([isStopped, sleep(5000, 'still running')]);
	return reportResults(site, callers, exitCode);
}

async function reportResults(site: Site, callers: CallerStandIn, exitCode: unknown): Promise<number> {
	const total = printCounts(callers.countsByClass);
	const runs = await fetchRunsByService(site);
	const doubled = countDuplicateRuns(runs.get('desk') ?? []);
	const lied = countRunsReportedNotRun(runs.get('desk') ?? [], callers);
	const retriesMax = await findMaxRetries(site);
	const {sent, complete, notRun, unknown, wrong, withoutRetryAfter} = total;
	const isGraceful = exitCode === 0;
	console.log(`retries per request: ${retriesMax} at most; duplicate non-idempotent runs: ${doubled}; runs reported as not-run: ${lied}`);
	console.log(`the stopped daemon ${isGraceful ? 'exited with code 0' : `did not exit with code 0 within 5 s (${String(exitCode)})`}`);
	const broken = wrong > 0 || doubled > 0 || lied > 0 || retriesMax > generateConfiguration(siteAnswers).site.retryPot || !isGraceful || withoutRetryAfter > 0 || complete === 0;
	console.log(JSON.stringify({
		sent, complete, notRun, unknown, wrong, doubled, lied, retriesMax, withoutRetryAfter, gracefulStop: isGraceful, ok: !broken,
	}));
	return broken ? 1 : 0;
}

await main();
