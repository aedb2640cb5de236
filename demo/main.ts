import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {cac} from 'cac';
import {generateConfiguration} from '../src/config/index.js';
import {CallerStandIn, type RequestCounts, createRequestCounts} from '../standins/caller.js';
import {countDuplicateRuns, countRunsReportedNotRun, fetchRunsByService} from './results.js';
import {siteAnswers, requestTypes, createHostPlans} from './plan.js';
import {Site} from './site.js';

const STEADY_RATE = 150;
const SURGE_RATE = 900;
const TRIES = 4;
const FAST = {steadyMs: 3000, surgeMs: 5000, calmMs: 3000};
const FULL = {steadyMs: 5000, surgeMs: 10_000, calmMs: 8000};

async function maxRetries(site: Site): Promise<number> {
	let most = 0;
	for (const host of site.hosts) {
		if (host.daemon?.exitCode === null && host.daemon.signalCode === null) {
			// eslint-disable-next-line no-await-in-loop
			const status = await site.fetchStatus(host);
			most = Math.max(most, status.maxRetries);
		}
	}

	return most;
}

function print(tallies: ReadonlyMap<string, RequestCounts>): RequestCounts {
	const total = createRequestCounts();
	const rows = [...tallies].map(([name, tally]) => {
		for (const field of Object.keys(total) as Array<keyof RequestCounts>) {
			total[field] += tally[field];
		}

		return {class: name, ...tally};
	});
	console.table(rows);
	return total;
}

async function main(): Promise<void> {
	const cli = cac('demo');
	cli.option('--binary', 'Run the daemons from dist/comfreydyke');
	cli.option('--smoke', 'A shorter run, for CI');
	cli.help();
	const {options} = cli.parse();
	if (options.help === true) {
		return;
	}

	const times = options.smoke === true ? FAST : FULL;
	const site = new Site(createHostPlans(), options.binary === true ? 'dist/comfreydyke' : undefined);
	process.once('SIGINT', () => {
		void site.stop();
	});
	console.log(`starting ${site.hosts.length} daemons, as many targets and the platform`);
	try {
		process.exitCode = await play(site, times);
	} finally {
		await site.stop();
	}
}

async function play(site: Site, times: typeof FULL): Promise<number> {
	await site.start(generateConfiguration(siteAnswers));
	const callers = new CallerStandIn(site.hosts.map(({address}) => address), requestTypes, TRIES);
	const progress = setInterval(() => {
		const done = [...callers.countsByClass].map(([name, {sent, complete, notRun, unknown}]) => `${name} sent ${sent} complete ${complete} not-run ${notRun} unknown ${unknown}`);
		console.log(`  rate ${callers.requestsPerSecond}/s, open ${callers.openRequests} | ${done.join(' | ')}`);
	}, 1000);
	callers.start();
	console.log(`steady load: ${STEADY_RATE} requests/s through a chain three services deep`);
	callers.requestsPerSecond = STEADY_RATE;
	await sleep(times.steadyMs);
	console.log(`surge past capacity: ${SURGE_RATE} requests/s, callers resend at once`);
	callers.requestsPerSecond = SURGE_RATE;
	await sleep(times.surgeMs / 2);
	const killed = site.hosts.find(({plan}) => plan.id === 'records-b')!;
	console.log(`killing the daemon ${killed.plan.id}`);
	killed.daemon?.kill('SIGKILL');
	callers.removeDaemon(killed.address);
	await sleep(times.surgeMs / 2);
	console.log('surge over');
	callers.requestsPerSecond = STEADY_RATE;
	await sleep(times.calmMs / 2);
	const stopped = site.hosts.find(({plan}) => plan.id === 'desk-b')!;
	console.log(`stopping the daemon ${stopped.plan.id} gracefully`);
	const isStopped = new Promise(resolve => {
		stopped.daemon?.once('exit', resolve);
	});
	callers.removeDaemon(stopped.address);
	stopped.daemon?.kill('SIGTERM');
	await sleep(times.calmMs / 2);
	callers.requestsPerSecond = 0;
	for (let waits = 0; callers.openRequests > 0 && waits < 60; waits++) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(100);
	}

	callers.stop();
	clearInterval(progress);
	const exitCode = await Promise.race([isStopped, sleep(5000, 'still running')]);
	return judge(site, callers, exitCode);
}

async function judge(site: Site, callers: CallerStandIn, exitCode: unknown): Promise<number> {
	const total = print(callers.countsByClass);
	const runs = await fetchRunsByService(site);
	const doubled = countDuplicateRuns(runs.get('desk') ?? []);
	const lied = countRunsReportedNotRun(runs.get('desk') ?? [], callers);
	const retriesMax = await maxRetries(site);
	const {sent, complete, notRun, unknown, wrong, withoutRetryAfter} = total;
	const isGraceful = exitCode === 0;
	console.log(`retries per request: ${retriesMax} at most; non-idempotent runs doubled: ${doubled}; told not-run but run: ${lied}`);
	console.log(`the stopped daemon ${isGraceful ? 'left by itself' : `did not leave cleanly (${String(exitCode)})`}`);
	const broken = wrong > 0 || doubled > 0 || lied > 0 || retriesMax > generateConfiguration(siteAnswers).site.retryPot || !isGraceful || withoutRetryAfter > 0 || complete === 0;
	console.log(JSON.stringify({
		sent, complete, notRun, unknown, wrong, doubled, lied, retriesMax, withoutRetryAfter, gracefulStop: isGraceful, ok: !broken,
	}));
	return broken ? 1 : 0;
}

await main();
