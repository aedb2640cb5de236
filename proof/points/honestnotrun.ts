import {type FakeRequest} from '../../fakes/index.js';
import {type ProofPoint} from '../proofpoint.js';
import {SimulatedCallers} from '../simulatedcallers.js';
import {type SimulatedService, CaseSimulation} from '../casesimulation.js';

const SERVICES: SimulatedService[] = [
	{
		name: 'front', upstreams: 3, target: {slots: 4, meanMs: 20, brokenRunShare: 0.02}, calls: [['back/write'], ['back/read']],
	},
	{
		name: 'back', upstreams: 3, target: {
			slots: 3, meanMs: 20, brokenRunShare: 0.02, failedRunShare: 0.05,
		}, calls: [],
	},
];

type Run = {readonly root: string; readonly send: number; readonly host: string};

/** If a caller is answered `not-run`, no non-idempotent call ran anywhere in the request's call tree. */
export const honestNotRun: ProofPoint = {
	name: 'honest-not-run',
	limits: {
		kinds: ['kill', 'restart', 'pause', 'cut', 'stop'], maxFaults: 5, networkFaults: true, requests: [40, 160], untilMs: 2000,
	},
	run(plan, sabotage) {
		const runs: Run[] = [];
		const simulation = new CaseSimulation({
			plan,
			services: SERVICES,
			sabotage,
			witness: {
				onRun(host: string, {root, send, idempotent}: FakeRequest) {
					if (!idempotent) {
						runs.push({root, send: send ?? 1, host});
					}
				},
			},
		});
		simulation.scheduleFaults();
		const callers = new SimulatedCallers(simulation, {
			service: 'front', requests: plan.requests, overMs: 2000, writeShare: 0.7, lostAnswerShare: 0.05, waitMs: 1500, isResending: true, untimedKeyShare: 0.2,
		});
		simulation.site.run(3000);
		simulation.endFaultsAndRun(8000);
		const violations: string[] = [];
		let refused = 0;
		for (const {root, operation, received} of callers.records) {
			for (const {sendNumber, outcome, reason} of received) {
				if (operation !== 'write' || outcome !== 'not-run') {
					continue;
				}

				refused++;
				// A later send may still run; the refused send and all earlier ones must not have run.
				const run = runs.find(one => one.root === root && one.send <= sendNumber);
				if (run !== undefined) {
					violations.push(`${root}: answered not-run (${reason}) for send ${sendNumber}, but send ${run.send} ran at ${run.host}`);
				}
			}
		}

		return {violations, faultCounts: {...simulation.faultCounts, 'told not-run': refused}, requests: simulation.requests};
	},
	sabotage: {
		title: 'the outcome unknown is reported as not-run',
		apply: core => ({
			step: (input, nowMs) => core.step(input, nowMs).map(output => (output.type === 'respond' && output.answer.outcome === 'unknown'
				? {...output, answer: {...output.answer, outcome: 'not-run' as const}}
				: output)),
		}),
	},
};
