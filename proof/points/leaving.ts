import {type ProofPoint} from '../proofpoint.js';
import {SimulatedCallers} from '../simulatedcallers.js';
import {type SimulatedService, CaseSimulation} from '../casesimulation.js';

const SAID_MS = 2000;
const DEATH_MS = 5000;
const SERVICES: SimulatedService[] = [
	{
		name: 'front', upstreams: 3, target: {slots: 10, meanMs: 10}, calls: [['back/read']],
	},
	{
		name: 'back', upstreams: 4, target: {slots: 8, meanMs: 15}, calls: [],
	},
];

/** A target that leaves gets no new work 2 s after it said so, a dead one none after 5 s. */
export const leaving: ProofPoint = {
	name: 'leaving',
	limits: {
		kinds: ['cut', 'outage', 'pause'], maxFaults: 3, networkFaults: false, requests: [150, 300], untilMs: 3000,
	},
	run(plan, sabotage) {
		const violations: string[] = [];
		const ends = new Map<string, number>();
		const isFrozen = plan.variant % 3 === 0;
		const world = new CaseSimulation({
			// A frozen host stays so; the end of another pause would wake it.
			plan: isFrozen ? {...plan, faults: plan.faults.filter(({kind}) => kind !== 'pause')} : plan,
			services: SERVICES,
			sabotage,
			witness: {
				onRun(host, _request, nowMs) {
					const endMs = ends.get(host);
					if (endMs !== undefined && nowMs > endMs) {
						violations.push(`${host}: new work ${Math.round(nowMs - endMs)} ms too late`);
					}
				},
			},
		});
		const {site} = world;
		world.scheduleFaults();
		const gone = world.hostAt(plan.variant);
		site.scheduler.schedule(1000, () => {
			ends.set(gone, site.nowMs + (isFrozen ? DEATH_MS : SAID_MS));
			switch (plan.variant % 3) {
				case 0: {
					// The process freezes: as good as dead, and no socket tells of it.
					site.pause(gone);
					break;
				}

				case 1: {
					site.setServing(gone, false);
					break;
				}

				default: {
					site.stop(gone);
				}
			}
		});
		// A daemon that is frozen when its target leaves can't tell its peers; to them it
		// is a dead one. What its target gets is held to the time of the leave all the same.
		const isMute = !isFrozen && plan.faults.some(({kind, host}) => kind === 'pause' && world.hostAt(host) === gone);
		const graceMs = isMute ? DEATH_MS - SAID_MS : 0;
		const sentLate = watchSends(world, gone, () => {
			const endMs = ends.get(gone);
			return endMs === undefined ? undefined : endMs + graceMs;
		});
		const callers = new SimulatedCallers(world, {
			service: 'front', requests: plan.requests, overMs: 9000, writeShare: 0.3, lostAnswerShare: 0, waitMs: 1500, isResending: false,
		});
		site.run(10_000);
		violations.push(...sentLate);
		const requests = callers.records.length;
		return {violations: violations.slice(0, 3), faultCounts: {...world.faultCounts, [['frozen', 'target left', 'daemon stopped'][plan.variant % 3]]: 1}, requests};
	},
	sabotage: {
		title: 'the daemon does not hear that its target leaves',
		apply: node => ({
			step: (input, nowMs) => (input.type === 'withdraw' ? [] : node.step(input, nowMs)),
		}),
	},
};

// New calls that peers still send to a host after it should have been avoided.
function watchSends(world: CaseSimulation, gone: string, endMs: () => number | undefined): string[] {
	const late: string[] = [];
	world.site.network.onCall = (from, to) => {
		const limitMs = endMs();
		if (to === gone && limitMs !== undefined && world.site.nowMs > limitMs) {
			late.push(`${from} sent ${to} a call ${Math.round(world.site.nowMs - limitMs)} ms too late`);
		}
	};

	return late;
}
