import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {isMainThread, parentPort, workerData} from 'node:worker_threads';
import {cac} from 'cac';
import {runInWorkers} from '../../fakes/index.js';
import {
	type Deployment, createChainDeployment, createRiddimDeployment, createThresholdDeployment,
} from './deployment.js';
import {type Measures} from './measure.js';
import {POLICIES, type PolicyName, runScenario} from './run.js';
import {SCENARIOS} from './scenario.js';
import {findOutOfBounds, printTables} from './report.js';
import {writePlot} from './plot.js';

const DEFAULT_SEED = 1;
const DEPLOYMENTS: Record<string, () => Deployment> = {threshold: createThresholdDeployment, riddim: createRiddimDeployment, chain12: () => createChainDeployment(12)};

/** One run for a worker thread. */
type BenchJob = {readonly deployment: string; readonly scenario: string; readonly policy: PolicyName; readonly seed: number; readonly isQuick: boolean};

/** Scenarios of a `--quick` run. */
const QUICK_SCENARIOS = new Set(['steady', 'surge-2x', 'deep-slowdown']);
/** Longest pressure of a `--quick` run. */
const QUICK_PRESSURE_MS = 8000;

function runJob({deployment, scenario, policy, seed, isQuick}: BenchJob): Measures {
	const scenarioOfJob = SCENARIOS.find(({name}) => name === scenario)!;
	return runScenario(DEPLOYMENTS[deployment](), isQuick ? {...scenarioOfJob, pressureMs: Math.min(scenarioOfJob.pressureMs, QUICK_PRESSURE_MS)} : scenarioOfJob, policy, seed);
}

async function main(): Promise<void> {
	const cli = cac('bench:policy');
	cli.option('--deployment <name>', 'Run only this deployment: threshold, riddim or chain12');
	cli.option('--scenario <name>', 'Run only this scenario');
	cli.option('--policy <name>', 'Run only this policy: none, static, aimd or comfreydyke');
	cli.option('--seed <n>', 'Seed of all random choices', {default: DEFAULT_SEED});
	cli.option('--quick', 'Run a few scenarios with shorter pressure, on threshold and riddim only');
	cli.option('--json', 'Print all results as JSON');
	cli.option('--plot <file>', 'Write an SVG chart of complete requests a second over time');
	cli.help();
	const {options} = cli.parse();
	if (options.help === true) {
		return;
	}

	const jobs: BenchJob[] = [];
	for (const deployment of Object.keys(DEPLOYMENTS)) {
		for (const {name: scenario} of SCENARIOS) {
			for (const policy of POLICIES) {
				const isExcluded = options.quick === true && (!QUICK_SCENARIOS.has(scenario) || deployment === 'chain12');
				const isSelected = !isExcluded && (options.deployment ?? deployment) === deployment && (options.scenario ?? scenario) === scenario && (options.policy ?? policy) === policy;
				if (isSelected) {
					jobs.push({
						deployment, scenario, policy, seed: Number(options.seed), isQuick: options.quick === true,
					});
				}
			}
		}
	}

	const results = await runInWorkers<BenchJob, Measures>(fileURLToPath(import.meta.url), 'bench', jobs, done => {
		if (process.stderr.isTTY) {
			process.stderr.write(`\r${done}/${jobs.length}`);
		}
	});
	if (options.json === true) {
		console.log(JSON.stringify(results));
	} else {
		printTables(results, Number(options.seed));
	}

	if (typeof options.plot === 'string') {
		await writePlot(results, options.plot);
	}

	const violations = findOutOfBounds(results);
	for (const violation of violations) {
		console.error(`out of bounds: ${violation}`);
	}

	process.exitCode = violations.length > 0 ? 1 : 0;
}

if (isMainThread) {
	await main();
} else if (workerData === 'bench') {
	parentPort!.on('message', (job: BenchJob) => {
		parentPort!.postMessage(runJob(job));
	});
}
