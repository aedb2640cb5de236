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

/** Told `not-run`, nothing non-idempotent ran anywhere in the request's tree. */
export const honestNotRun: ProofPoint = {
	name: 'honest-not-run',
	limits: {
		kinds: ['kill', 'restart', 'pause', 'cut', 'stop'], maxFaults: 5, networkFaults: true, requests: [40, 160], untilMs: 2000,
	},
	run(plan, sabotage) {
		const runs: Run[] = [];
		const world = new CaseSimulation({
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
		world.scheduleFaults();
		const callers = new SimulatedCallers(world, {
			service: 'front', requests: plan.requests, overMs: 2000, writeShare: 0.7, lostAnswerShare: 0.05, waitMs: 1500, isResending: true, untimedKeyShare: 0.2,
		});
		world.site.run(3000);
		world.endFaultsAndRun(8000);
		const violations: string[] = [];
		let refused = 0;
		for (const {root, operation, received: told} of callers.records) {
			for (const {sendNumber: send, outcome, reason} of told) {
				if (operation !== 'write' || outcome !== 'not-run') {
					continue;
				}

				refused++;
				// A later send may run; this one and those before it must not have.
				const run = runs.find(one => one.root === root && one.send <= send);
				if (run !== undefined) {
					violations.push(`${root}: told not-run (${reason}) of send ${send}, yet send ${run.send} ran at ${run.host}`);
				}
			}
		}

		return {violations, faultCounts: {...world.faultCounts, 'told not-run': refused}, requests: world.requests};
	},
	sabotage: {
		title: 'an uncertain end is reported as not run',
		apply: node => ({
			step: (input, nowMs) => node.step(input, nowMs).map(output => (output.type === 'respond' && output.answer.outcome === 'unknown'
				? {...output, answer: {...output.answer, outcome: 'not-run' as const}}
				: output)),
		}),
	},
};
