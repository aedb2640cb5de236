import {type ProofPoint} from '../proofpoint.js';
import {SimulatedCallers} from '../simulatedcallers.js';
import {type SimulatedService, CaseSimulation} from '../casesimulation.js';

const SERVICES: SimulatedService[] = [
	{
		name: 'desk', upstreams: 3, target: {slots: 5, meanMs: 20, brokenRunShare: 0.02}, calls: [['pay/write']],
	},
	{
		name: 'pay', upstreams: 3, target: {slots: 4, meanMs: 15, brokenRunShare: 0.01}, calls: [],
	},
];
/** Capacities of a host's ledger, in keys. */
const SMALL_LEDGER_KEYS = 20;
const LARGE_LEDGER_KEYS = 10_000;

/** A non-idempotent request runs at most once, no matter how often and where it is resent. */
export const atMostOnce: ProofPoint = {
	name: 'at-most-once',
	limits: {
		kinds: ['kill', 'restart', 'pause', 'cut', 'stop', 'outage'], maxFaults: 6, networkFaults: true, requests: [40, 120], untilMs: 2500,
	},
	run(plan, sabotage) {
		const runs = new Map<string, string[]>();
		const simulation = new CaseSimulation({
			plan,
			services: SERVICES,
			sabotage,
			ledgerCapacity: plan.variant % 4 === 0 ? SMALL_LEDGER_KEYS : LARGE_LEDGER_KEYS,
			witness: {
				onRun(host, {root, service, idempotent}) {
					if (!idempotent) {
						const id = `${service} ${root}`;
						runs.set(id, [...(runs.get(id) ?? []), host]);
					}
				},
			},
		});
		simulation.scheduleFaults();
		const callers = new SimulatedCallers(simulation, {
			service: 'desk', requests: plan.requests, overMs: 2500, writeShare: 1, lostAnswerShare: 0.2, waitMs: 1200, isResending: true, untimedKeyShare: 0.3,
		});
		simulation.site.run(3500);
		simulation.endFaultsAndRun(8000);
		const violations = [...runs].filter(([, hosts]) => hosts.length > 1).map(([id, hosts]) => `${id}: ran ${hosts.length} times, at ${hosts.join(', ')}`);
		let resends = 0;
		for (const {sendCount} of callers.records) {
			resends += sendCount - 1;
		}

		return {violations, faultCounts: {...simulation.faultCounts, resends}, requests: simulation.requests};
	},
	sabotage: {
		title: 'every upstream answers a fence request with "fenced", even for a key that it has run',
		apply: core => ({
			step: (input, nowMs) => core.step(input, nowMs).map(output => (output.type === 'frame' && output.frame.type === 'vouch'
				? {...output, frame: {...output.frame, vouch: {verdict: 'fenced' as const}}}
				: output)),
		}),
	},
};
