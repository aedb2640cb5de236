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

/** Each caller receives the complete answer to its own request, or no answer. */
export const rightAnswer: ProofPoint = {
	name: 'right-answer',
	limits: {
		kinds: ['kill', 'restart', 'pause', 'cut', 'stop'], maxFaults: 5, networkFaults: true, requests: [30, 100], untilMs: 2000,
	},
	run(plan, sabotage) {
		const simulation = new CaseSimulation({plan, services: SERVICES, sabotage});
		simulation.scheduleFaults();
		const callers = new SimulatedCallers(simulation, {
			service: 'front', requests: plan.requests, overMs: 2000, writeShare: 0.4, lostAnswerShare: 0.05, waitMs: 1500, isResending: true,
		});
		simulation.site.run(3000);
		simulation.endFaultsAndRun(8000);
		const violations = callers.records.filter(({wrongDigestCount}) => wrongDigestCount > 0).map(({root}) => `${root}: received an answer with the digest of another request`);
		return {violations, faultCounts: simulation.faultCounts, requests: simulation.requests};
	},
	sabotage: {
		title: 'each answer is replaced by the previous answer',
		apply(core) {
			let previous: Answer | undefined;
			const replaceAnswer = (output: Output): Output => {
				if (output.type !== 'respond' || output.answer.outcome !== 'complete') {
					return output;
				}

				const answer = previous ?? output.answer;
				previous = output.answer;
				return {...output, answer};
			};

			return {step: (input, nowMs) => core.step(input, nowMs).map(output => replaceAnswer(output))};
		},
	},
};
