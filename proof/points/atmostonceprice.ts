import {type FakeRequest} from '../../fakes/index.js';
import {type ProofPoint} from '../proofpoint.js';
import {SimulatedCallers} from '../simulatedcallers.js';
import {type SimulatedService, CaseSimulation} from '../casesimulation.js';

/** Time of the kill after the start of the load. */
const KILL_MS = 1200;
/** Time until peers notice the reset of their connections, with a margin. */
const NOTICE_MS = 3;
const SERVICES: SimulatedService[] = [
	{
		name: 'desk', upstreams: 3, target: {slots: 20, meanMs: 20}, calls: [['pay/write']],
	},
	{
		name: 'pay', upstreams: 3, target: {slots: 20, meanMs: 15}, calls: [],
	},
];

/** After one daemon is killed, only requests that were in flight at it may be answered `unknown`. */
export const atMostOncePrice: ProofPoint = {
	name: 'at-most-once-price',
	limits: {
		kinds: [], maxFaults: 0, networkFaults: false, requests: [100, 300], untilMs: 0,
	},
	run(plan, sabotage) {
		const seenRoots = new Map<string, Set<string>>();
		const inFlight = new Set<string>();
		const simulation = new CaseSimulation({
			plan,
			services: SERVICES,
			sabotage,
			witness: {
				onInput(host, input) {
					if (input.type === 'request') {
						rootsAt(host).add((input.payload as FakeRequest).root);
					} else if (input.type === 'frame' && input.frame.type === 'call') {
						rootsAt(host).add((input.frame.call.payload as FakeRequest).root);
					}
				},
			},
		});
		const {site} = simulation;
		const killedHost = simulation.hostAt(plan.variant);
		const killedMs = site.nowMs + KILL_MS;
		const rootsAt = (host: string): Set<string> => {
			const roots = seenRoots.get(host) ?? new Set<string>();
			seenRoots.set(host, roots);
			return roots;
		};

		// A call sent to the killed host before its peers could notice the failure counts as in flight there.
		site.network.onCall = (_from, to, payload) => {
			if (to === killedHost && Math.abs(site.nowMs - killedMs) < NOTICE_MS) {
				inFlight.add((payload as FakeRequest).root);
			}
		};

		const callers = new SimulatedCallers(simulation, {
			service: 'desk', requests: plan.requests, overMs: 3000, writeShare: 1, lostAnswerShare: 0, waitMs: 1500, isResending: true, resendAfterAnswerShare: 0,
		});
		site.scheduler.schedule(KILL_MS, () => {
			const finished = new Set(callers.records.filter(({received}) => received.some(({outcome}) => outcome === 'complete')).map(({root}) => root));
			for (const root of rootsAt(killedHost)) {
				if (!finished.has(root)) {
					inFlight.add(root);
				}
			}

			site.kill(killedHost);
		});
		site.run(4000);
		simulation.endFaultsAndRun(8000);
		const unknown = callers.records.filter(({received}) => received.some(({outcome}) => outcome === 'unknown'));
		const unexpected = unknown.filter(({root}) => !inFlight.has(root));
		const late = callers.records.filter(({sentMs, received}) => sentMs > site.nowMs - 12_000 + KILL_MS + 1000 && received.at(-1)?.outcome !== 'complete');
		return {
			violations: [
				...unexpected.slice(0, 2).map(({root, received}) => `${root}: ${received.find(({outcome}) => outcome === 'unknown')?.reason} although no call of it was in flight at ${killedHost}`),
				...late.slice(0, 2).map(({root, received}) => `${root}: a request sent after the kill was answered ${received.at(-1)?.outcome} (${received.at(-1)?.reason})`),
			],
			faultCounts: {kill: 1, 'in flight': inFlight.size, 'answered unknown': unknown.length},
			requests: simulation.requests,
		};
	},
	sabotage: {
		title: 'every first attempt is treated as a resend',
		apply: core => ({
			step: (input, nowMs) => core.step(input.type === 'request' && input.key !== undefined && !input.fromTarget ? {...input, attempt: 2} : input, nowMs),
		}),
	},
};
