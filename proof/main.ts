import {createHash} from 'node:crypto';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {isMainThread, parentPort, workerData} from 'node:worker_threads';
import {cac} from 'cac';
import fc from 'fast-check';
import {runInWorkers} from '../fakes/index.js';
import {fuzz} from './fuzz.js';
import {type CasePlan, createPlanArbitrary} from './caseplan.js';
import {type CaseResult, type ProofPoint} from './proofpoint.js';
import {PROOF_POINTS} from './points/index.js';
import {checkRealProcesses} from './realprocesses.js';
import {checkRules} from './rules/index.js';

const DEFAULT_SEED = 1;
const DEFAULT_CASES = 500;
/** A sabotaged point must fail within this many cases. */
const SABOTAGE_CASES = 60;
/** Cases of one worker job. */
const BATCH_CASES = 25;

type Job = {readonly point: string; readonly seed: number; readonly cases: number; readonly sabotage: boolean};

type Batch = {
	readonly cases: number;
	readonly requests: number;
	readonly faults: Readonly<Record<string, number>>;
	readonly totals: Readonly<Record<string, number>>;
	readonly violations: readonly string[];
	/** The plan of the first violation after shrinking. */
	readonly shortest?: CasePlan;
};

function runJob({point: name, seed, cases, sabotage}: Job): Batch {
	const point = PROOF_POINTS.find(one => one.name === name)!;
	const sabotageCore = sabotage ? point.sabotage.apply : undefined;
	const faults: Record<string, number> = {};
	const totals: Record<string, number> = {};
	const violations: string[] = [];
	let requests = 0;
	let isShrinking = false;
	const outcome = fc.check(fc.property(createPlanArbitrary(point.limits), plan => {
		const result: CaseResult = point.run(plan, sabotageCore);
		if (!isShrinking) {
			requests += result.requests;
			addCounts(faults, result.faultCounts);
			addCounts(totals, result.totals ?? {});
			violations.push(...result.violations);
		}

		isShrinking ||= result.violations.length > 0;
		return result.violations.length === 0;
	}), {seed, numRuns: cases, endOnFailure: sabotage});
	return {
		cases: outcome.failed ? outcome.numRuns : cases, requests, faults, totals, violations, shortest: outcome.counterexample?.[0],
	};
}

function addCounts(sums: Record<string, number>, more: Readonly<Record<string, number>>): void {
	for (const [name, count] of Object.entries(more)) {
		sums[name] = (sums[name] ?? 0) + count;
	}
}

// Each batch has its own seed, so the results don't depend on how jobs are spread over the workers.
async function runJobs(jobs: readonly Job[]): Promise<Batch[]> {
	return runInWorkers<Job, Batch>(fileURLToPath(import.meta.url), 'proof', jobs);
}

function createJobs(points: readonly ProofPoint[], seed: number, cases: number, sabotage: boolean): Job[] {
	return points.flatMap(({name}) => {
		const size = sabotage ? cases : BATCH_CASES;
		return Array.from({length: Math.ceil(cases / size)}, (_, batch) => ({
			point: name, seed: deriveSeed(seed, name, batch), cases: Math.min(size, cases - (batch * size)), sabotage,
		}));
	});
}

function deriveSeed(seed: number, point: string, batch: number): number {
	return createHash('sha256').update(`${seed}/${point}/${batch}`).digest().readInt32LE(0);
}

async function checkPoints(points: readonly ProofPoint[], seed: number, cases: number): Promise<number> {
	const jobs = createJobs(points, seed, cases, false);
	const batches = await runJobs(jobs);
	const rows = ['point | faults injected | cases | requests | violations'];
	const summary: Record<string, {cases: number; violations: number}> = {};
	let total = 0;
	for (const point of points) {
		const own = batches.filter((_, index) => jobs[index].point === point.name);
		const faults: Record<string, number> = {};
		const totals: Record<string, number> = {};
		let requests = 0;
		let done = 0;
		for (const batch of own) {
			addCounts(faults, batch.faults);
			addCounts(totals, batch.totals);
			requests += batch.requests;
			done += batch.cases;
		}

		const violations = [...own.flatMap(batch => batch.violations), ...(point.checkTotals?.(totals) ?? [])];
		total += violations.length;
		summary[point.name] = {cases: done, violations: violations.length};
		const injected = Object.entries(faults).toSorted(([a], [b]) => (a < b ? -1 : 1)).map(([kind, count]) => `${kind} ${count}`);
		rows.push([point.name, injected.join(', '), done, requests, violations.length].join(' | '));
		const [shown] = own.filter(({shortest}) => shortest !== undefined).toSorted((a, b) => a.shortest!.faults.length - b.shortest!.faults.length);
		if (shown !== undefined) {
			console.log(`${point.name}: ${shown.violations[0]}`);
			console.log(`  shortest plan: ${JSON.stringify(shown.shortest)}`);
			console.log(`  again: npm run proof -- --only ${point.name} --seed ${seed} --cases ${cases}`);
		}

		for (const violation of point.checkTotals?.(totals) ?? []) {
			console.log(`${point.name}: ${violation}`);
		}
	}

	for (const row of rows) {
		console.log(row);
	}

	console.log(JSON.stringify({seed, points: summary, violations: total}));
	return total;
}

async function checkSabotages(points: readonly ProofPoint[], seed: number): Promise<number> {
	const jobs = createJobs(points, seed, SABOTAGE_CASES, true);
	const batches = await runJobs(jobs);
	let missed = 0;
	for (const [index, {violations, cases}] of batches.entries()) {
		const point = points[index];
		const caught = violations.length > 0;
		missed += caught ? 0 : 1;
		console.log(`${point.name} | ${point.sabotage.title} | ${caught ? `caught in case ${cases}: ${violations[0]}` : `NOT CAUGHT in ${cases} cases`}`);
	}

	console.log(JSON.stringify({seed, sabotaged: points.length, caught: points.length - missed}));
	return missed;
}

async function main(): Promise<void> {
	const cli = cac('proof');
	cli.option('--seed <n>', 'Seed from which all cases are generated', {default: DEFAULT_SEED});
	cli.option('--cases <n>', 'Number of cases for each point', {default: DEFAULT_CASES});
	cli.option('--only <point>', `One of ${PROOF_POINTS.map(({name}) => name).join(', ')}, fuzz, real, rules`);
	cli.option('--sabotage', 'Inject a defect for each point or rule and check that it is detected');
	cli.option('--virtual', 'Skip the checks that need real processes or sockets');
	cli.help();
	const {options} = cli.parse();
	if (options.help === true) {
		return;
	}

	const seed = Number(options.seed);
	const points = PROOF_POINTS.filter(({name}) => options.only === undefined || options.only === name);
	if (points.length === 0 && !['real', 'fuzz', 'rules'].includes(String(options.only))) {
		throw new Error(`unknown value of --only: "${String(options.only)}"; --help lists the points`);
	}

	console.log(`seed ${seed}`);
	let faults = options.sabotage === true ? await checkSabotages(points, seed) : await checkPoints(points, seed, Number(options.cases));
	if (options.only === 'fuzz' || (options.only === undefined && options.sabotage !== true)) {
		faults += fuzz(seed);
	}

	if (options.only === 'real' || (options.only === undefined && options.virtual !== true && options.sabotage !== true)) {
		faults += await checkRealProcesses();
	}

	if (options.only === 'rules' || (options.only === undefined && options.virtual !== true)) {
		faults += await checkRules(options.sabotage === true);
	}

	process.exitCode = faults > 0 ? 1 : 0;
}

if (isMainThread) {
	await main();
} else if (workerData === 'proof') {
	parentPort!.on('message', (job: Job) => {
		parentPort!.postMessage(runJob(job));
	});
}
