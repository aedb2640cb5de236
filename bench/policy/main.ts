import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {isMainThread, parentPort, workerData} from 'node:worker_threads';
import {cac} from 'cac';
import {runInWorkers} from '../../fakes/index.js';
import {
	type Deployment, chain, riddim, threshold,
} from './deployment.js';
import {type Measures} from './measure.js';
import {POLICIES, type PolicyName, runScenario} from './run.js';
import {SCENARIOS} from './scenario.js';
import {judge, print} from './report.js';
import {plot} from './plot.js';

const DEFAULT_SEED = 1;
const DEPLOYMENTS: Record<string, () => Deployment> = {threshold, riddim, chain12: () => chain(12)};

type Job = {readonly deployment: string; readonly scenario: string; readonly policy: PolicyName; readonly seed: number; readonly isQuick: boolean};

/** What a quick run plays, and for how long its pressure lasts, in ms. */
const QUICK_SCENARIOS = new Set(['steady', 'surge-2x', 'deep-slowdown']);
const QUICK_MS = 8000;

function runJob({deployment, scenario, policy, seed, isQuick}: Job): Measures {
	const full = SCENARIOS.find(({name}) => name === scenario)!;
	return runScenario(DEPLOYMENTS[deployment](), isQuick ? {...full, pressureMs: Math.min(full.pressureMs, QUICK_MS)} : full, policy, seed);
}

async function main(): Promise<void> {
	const cli = cac('bench:policy');
	cli.option('--deployment <name>', 'threshold, riddim or chain12; all by default');
	cli.option('--scenario <name>', 'Only this one');
	cli.option('--policy <name>', 'Only this one');
	cli.option('--seed <n>', 'Seed of all randomness', {default: DEFAULT_SEED});
	cli.option('--quick', 'A few scenarios with short pressure, on the two users\' deployments');
	cli.option('--json', 'Print everything as JSON');
	cli.option('--plot <file>', 'Write an SVG of goodput over time');
	cli.help();
	const {options} = cli.parse();
	if (options.help === true) {
		return;
	}

	const jobs: Job[] = [];
	for (const deployment of Object.keys(DEPLOYMENTS)) {
		for (const {name: scenario} of SCENARIOS) {
			for (const policy of POLICIES) {
				const isLeftOut = options.quick === true && (!QUICK_SCENARIOS.has(scenario) || deployment === 'chain12');
				const wanted = !isLeftOut && (options.deployment ?? deployment) === deployment && (options.scenario ?? scenario) === scenario && (options.policy ?? policy) === policy;
				if (wanted) {
					jobs.push({
						deployment, scenario, policy, seed: Number(options.seed), isQuick: options.quick === true,
					});
				}
			}
		}
	}

	const results = await runInWorkers<Job, Measures>(fileURLToPath(import.meta.url), 'bench', jobs, done => {
		if (process.stderr.isTTY) {
			process.stderr.write(`\r${done}/${jobs.length}`);
		}
	});
	if (options.json === true) {
		console.log(JSON.stringify(results));
	} else {
		print(results, Number(options.seed));
	}

	if (typeof options.plot === 'string') {
		await plot(results, options.plot);
	}

	const faults = judge(results);
	for (const fault of faults) {
		console.error(`out of bounds: ${fault}`);
	}

	process.exitCode = faults.length > 0 ? 1 : 0;
}

if (isMainThread) {
	await main();
} else if (workerData === 'bench') {
	parentPort!.on('message', (job: Job) => {
		parentPort!.postMessage(runJob(job));
	});
}
