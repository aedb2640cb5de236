import {type ProofPoint} from '../proofpoint.js';
import {SimulatedCallers} from '../simulatedcallers.js';
import {type SimulatedService, CaseSimulation} from '../casesimulation.js';

/** Bound on new work after a target announced that it leaves. */
const ANNOUNCED_BOUND_MS = 2000;
/** Bound on new work after a host failed without notice. */
const FAILED_BOUND_MS = 5000;
const SERVICES: SimulatedService[] = [
	{
		name: 'front', upstreams: 3, target: {slots: 10, meanMs: 10}, calls: [['back/read']],
	},
	{
		name: 'back', upstreams: 4, target: {slots: 8, meanMs: 15}, calls: [],
	},
];

/** A target gets no new work later than 2 s after it announced that it leaves, or 5 s after it failed. */
export const leaving: ProofPoint = {
	name: 'leaving',
	limits: {
		kinds: ['cut', 'outage', 'pause'], maxFaults: 3, networkFaults: false, requests: [150, 300], untilMs: 3000,
	},
	run(plan, sabotage) {
		const violations: string[] = [];
		const deadlinesMs = new Map<string, number>();
		const isFrozen = plan.variant % 3 === 0;
		const simulation = new CaseSimulation({
			// A frozen host must stay frozen; the end of a planned pause would resume it.
			plan: isFrozen ? {...plan, faults: plan.faults.filter(({kind}) => kind !== 'pause')} : plan,
			services: SERVICES,
			sabotage,
			witness: {
				onRun(host, _request, nowMs) {
					const endMs = deadlinesMs.get(host);
					if (endMs !== undefined && nowMs > endMs) {
						violations.push(`${host}: new work ${Math.round(nowMs - endMs)} ms too late`);
					}
				},
			},
		});
		const {site} = simulation;
		simulation.scheduleFaults();
		const leavingHost = simulation.hostAt(plan.variant);
		site.scheduler.schedule(1000, () => {
			deadlinesMs.set(leavingHost, site.nowMs + (isFrozen ? FAILED_BOUND_MS : ANNOUNCED_BOUND_MS));
			switch (plan.variant % 3) {
				case 0: {
					// A frozen process closes no socket, so only timeouts reveal the failure.
					site.pause(leavingHost);
					break;
				}

				case 1: {
					site.setServing(leavingHost, false);
					break;
				}

				default: {
					site.stop(leavingHost);
				}
			}
		});
		// A daemon that is paused when its target leaves can't notify its peers, so they may send until
		// the bound for failed hosts. Runs at its target are still held to the bound for leaving.
		const isUnableToNotify = !isFrozen && plan.faults.some(({kind, host}) => kind === 'pause' && simulation.hostAt(host) === leavingHost);
		const graceMs = isUnableToNotify ? FAILED_BOUND_MS - ANNOUNCED_BOUND_MS : 0;
		const lateCalls = recordLateCalls(simulation, leavingHost, () => {
			const endMs = deadlinesMs.get(leavingHost);
			return endMs === undefined ? undefined : endMs + graceMs;
		});
		const callers = new SimulatedCallers(simulation, {
			service: 'front', requests: plan.requests, overMs: 9000, writeShare: 0.3, lostAnswerShare: 0, waitMs: 1500, isResending: false,
		});
		site.run(10_000);
		violations.push(...lateCalls);
		const requests = callers.records.length;
		return {violations: violations.slice(0, 3), faultCounts: {...simulation.faultCounts, [['frozen', 'target left', 'daemon stopped'][plan.variant % 3]]: 1}, requests};
	},
	sabotage: {
		title: 'the daemon ignores the notice that its target leaves',
		apply: core => ({
			step: (input, nowMs) => (input.type === 'withdraw' ? [] : core.step(input, nowMs)),
		}),
	},
};

// Collects the calls that peers send to a host after the time limit.
function recordLateCalls(simulation: CaseSimulation, leavingHost: string, endMs: () => number | undefined): string[] {
	const late: string[] = [];
	simulation.site.network.onCall = (from, to) => {
		const limitMs = endMs();
		if (to === leavingHost && limitMs !== undefined && simulation.site.nowMs > limitMs) {
			late.push(`${from} sent ${to} a call ${Math.round(simulation.site.nowMs - limitMs)} ms too late`);
		}
	};

	return late;
}
