import {type Answer, type Output} from '../../src/core/index.js';
import {type ProofPoint} from '../proofpoint.js';
import {SimulatedCallers} from '../simulatedcallers.js';
import {type SimulatedService, CaseSimulation} from '../casesimulation.js';

const SERVICES: SimulatedService[] = [
	{
		name: 'front', upstreams: 2, target: {slots: 10, meanMs: 10}, calls: [['back/read', 'back/read']],
	},
	{
		name: 'back', upstreams: 3, target: {slots: 6, meanMs: 20, brokenRunShare: 0.02}, calls: [],
	},
];

/** Each caller gets the whole answer to its own request, or none. */
export const rightAnswer: ProofPoint = {
	name: 'right-answer',
	limits: {
		kinds: ['kill', 'restart', 'pause', 'cut', 'stop'], maxFaults: 5, networkFaults: true, requests: [30, 100], untilMs: 2000,
	},
	run(plan, sabotage) {
		const world = new CaseSimulation({plan, services: SERVICES, sabotage});
		world.scheduleFaults();
		const callers = new SimulatedCallers(world, {
			service: 'front', requests: plan.requests, overMs: 2000, writeShare: 0.4, lostAnswerShare: 0.05, waitMs: 1500, isResending: true,
		});
		world.site.run(3000);
		world.endFaultsAndRun(8000);
		const violations = callers.records.filter(({wrongDigestCount: wrongDigests}) => wrongDigests > 0).map(({root}) => `${root}: got another's answer`);
		return {violations, faultCounts: world.faultCounts, requests: world.requests};
	},
	sabotage: {
		title: 'an answer carries the body of the one before it',
		apply(node) {
			let last: Answer | undefined;
			const swap = (output: Output): Output => {
				if (output.type !== 'respond' || output.answer.outcome !== 'complete') {
					return output;
				}

				const answer = last ?? output.answer;
				last = output.answer;
				return {...output, answer};
			};

			return {step: (input, nowMs) => node.step(input, nowMs).map(output => swap(output))};
		},
	},
};
