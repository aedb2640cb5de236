import {type ProofPoint} from '../proofpoint.js';
import {SimulatedCallers} from '../simulatedcallers.js';
import {type SimulatedService, CaseSimulation} from '../casesimulation.js';

const EXIT_MS = 4000;
const WAIT_MS = 1500;
const SERVICES: SimulatedService[] = [
	{
		name: 'front', upstreams: 3, target: {slots: 20, meanMs: 40}, calls: [['back/read'], ['back/write']],
	},
	{
		name: 'back', upstreams: 3, target: {slots: 20, meanMs: 120}, calls: [],
	},
];

/** A planned stop cuts off nothing in flight, and the process leaves by itself. */
export const gracefulStop: ProofPoint = {
	name: 'graceful-stop',
	limits: {
		kinds: ['stop', 'outage', 'slow-platform'], maxFaults: 2, networkFaults: false, requests: [60, 200], untilMs: 1000,
	},
	run(plan, sabotage) {
		const world = new CaseSimulation({plan, services: SERVICES, sabotage});
		const {site} = world;
		world.scheduleFaults();
		const first = world.hostAt(plan.variant);
		site.scheduler.schedule(700, () => {
			world.stopTimesMs.set(first, site.nowMs);
			site.stop(first);
		});
		const callers = new SimulatedCallers(world, {
			service: 'front', requests: plan.requests, overMs: 2000, writeShare: 0.5, lostAnswerShare: 0, waitMs: WAIT_MS, isResending: false,
		});
		site.run(3000);
		world.endFaultsAndRun(EXIT_MS);
		const violations: string[] = [];
		for (const {root, received: told, operation} of callers.records) {
			const cut = told.find(({outcome, reason}) => outcome === 'broken' || (outcome === 'unknown' && (reason === 'lost' || reason === 'target-failed')));
			if (cut !== undefined) {
				violations.push(`${root} (${operation}): ${cut.outcome} ${cut.reason ?? ''}`);
			}
		}

		for (const host of world.stopTimesMs.keys()) {
			if (site.isUp(host)) {
				violations.push(`${host}: still running ${EXIT_MS} ms after the load`);
			}
		}

		return {violations: violations.slice(0, 3), faultCounts: {...world.faultCounts, stop: world.stopTimesMs.size}, requests: world.requests};
	},
	sabotage: {
		title: 'the daemon leaves at once',
		apply: node => ({
			step: (input, nowMs) => (input.type === 'drain' ? [{type: 'stopped'}] : node.step(input, nowMs)),
		}),
	},
};
