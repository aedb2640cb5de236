import {type ProofPoint} from '../proofpoint.js';
import {SimulatedCallers} from '../simulatedcallers.js';
import {type SimulatedService, CaseSimulation} from '../casesimulation.js';

/** A stopped daemon must have exited this long after the load ends. */
const EXIT_MS = 4000;
/** How long a caller waits for an answer. */
const WAIT_MS = 1500;
const SERVICES: SimulatedService[] = [
	{
		name: 'front', upstreams: 3, target: {slots: 20, meanMs: 40}, calls: [['back/read'], ['back/write']],
	},
	{
		name: 'back', upstreams: 3, target: {slots: 20, meanMs: 120}, calls: [],
	},
];

/** A planned stop interrupts no request in flight, and the process exits by itself. */
export const gracefulStop: ProofPoint = {
	name: 'graceful-stop',
	limits: {
		kinds: ['stop', 'outage', 'slow-platform'], maxFaults: 2, networkFaults: false, requests: [60, 200], untilMs: 1000,
	},
	run(plan, sabotage) {
		const simulation = new CaseSimulation({plan, services: SERVICES, sabotage});
		const {site} = simulation;
		simulation.scheduleFaults();
		const stoppedHost = simulation.hostAt(plan.variant);
		site.scheduler.schedule(700, () => {
			simulation.stopTimesMs.set(stoppedHost, site.nowMs);
			site.stop(stoppedHost);
		});
		const callers = new SimulatedCallers(simulation, {
			service: 'front', requests: plan.requests, overMs: 2000, writeShare: 0.5, lostAnswerShare: 0, waitMs: WAIT_MS, isResending: false,
		});
		site.run(3000);
		simulation.endFaultsAndRun(EXIT_MS);
		const violations: string[] = [];
		for (const {root, received, operation} of callers.records) {
			const interrupted = received.find(({outcome, reason}) => outcome === 'broken' || (outcome === 'unknown' && (reason === 'lost' || reason === 'target-failed')));
			if (interrupted !== undefined) {
				violations.push(`${root} (${operation}): ${interrupted.outcome} ${interrupted.reason ?? ''}`);
			}
		}

		for (const host of simulation.stopTimesMs.keys()) {
			if (site.isUp(host)) {
				violations.push(`${host}: still running ${EXIT_MS} ms after the load ended`);
			}
		}

		return {violations: violations.slice(0, 3), faultCounts: {...simulation.faultCounts, stop: simulation.stopTimesMs.size}, requests: simulation.requests};
	},
	sabotage: {
		title: 'the daemon exits at once without draining',
		apply: core => ({
			step: (input, nowMs) => (input.type === 'drain' ? [{type: 'stopped'}] : core.step(input, nowMs)),
		}),
	},
};
