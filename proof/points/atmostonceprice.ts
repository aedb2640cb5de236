import {type FakeRequest} from '../../fakes/index.js';
import {type ProofPoint} from '../proofpoint.js';
import {SimulatedCallers} from '../simulatedcallers.js';
import {type SimulatedService, CaseSimulation} from '../casesimulation.js';

const KILL_MS = 1200;
/** The time that a reset takes to reach the peers, with a margin. */
const NOTICE_MS = 3;
const SERVICES: SimulatedService[] = [
	{
		name: 'desk', upstreams: 3, target: {slots: 20, meanMs: 20}, calls: [['pay/write']],
	},
	{
		name: 'pay', upstreams: 3, target: {slots: 20, meanMs: 15}, calls: [],
	},
];

/** With one daemon killed, only what was in flight at it may end unknown. */
export const atMostOncePrice: ProofPoint = {
	name: 'at-most-once-price',
	limits: {
		kinds: [], maxFaults: 0, networkFaults: false, requests: [100, 300], untilMs: 0,
	},
	run(plan, sabotage) {
		const open = new Map<string, Set<string>>();
		const touched = new Set<string>();
		const world = new CaseSimulation({
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
		const {site} = world;
		const killed = world.hostAt(plan.variant);
		const killedMs = site.nowMs + KILL_MS;
		const rootsAt = (host: string): Set<string> => {
			const roots = open.get(host) ?? new Set<string>();
			open.set(host, roots);
			return roots;
		};

		// A call on its way to the killed host, before its peers can have noticed,
		// counts as in flight at it.
		site.network.onCall = (_from, to, payload) => {
			if (to === killed && Math.abs(site.nowMs - killedMs) < NOTICE_MS) {
				touched.add((payload as FakeRequest).root);
			}
		};

		const callers = new SimulatedCallers(world, {
			service: 'desk', requests: plan.requests, overMs: 3000, writeShare: 1, lostAnswerShare: 0, waitMs: 1500, isResending: true, resendAfterAnswerShare: 0,
		});
		site.scheduler.schedule(KILL_MS, () => {
			const finished = new Set(callers.records.filter(({received: told}) => told.some(({outcome}) => outcome === 'complete')).map(({root}) => root));
			for (const root of rootsAt(killed)) {
				if (!finished.has(root)) {
					touched.add(root);
				}
			}

			site.kill(killed);
		});
		site.run(4000);
		world.endFaultsAndRun(8000);
		const unknown = callers.records.filter(({received: told}) => told.some(({outcome}) => outcome === 'unknown'));
		const unexpected = unknown.filter(({root}) => !touched.has(root));
		const late = callers.records.filter(({sentMs, received: told}) => sentMs > site.nowMs - 12_000 + KILL_MS + 1000 && told.at(-1)?.outcome !== 'complete');
		return {
			violations: [
				...unexpected.slice(0, 2).map(({root, received: told}) => `${root}: ${told.find(({outcome}) => outcome === 'unknown')?.reason} although nothing of it was at ${killed}`),
				...late.slice(0, 2).map(({root, received: told}) => `${root}: a new submission ended ${told.at(-1)?.outcome} (${told.at(-1)?.reason})`),
			],
			faultCounts: {kill: 1, 'in flight': touched.size, 'answered unknown': unknown.length},
			requests: world.requests,
		};
	},
	sabotage: {
		title: 'every first attempt is treated as a resend',
		apply: node => ({
			step: (input, nowMs) => node.step(input.type === 'request' && input.key !== undefined && !input.fromTarget ? {...input, attempt: 2} : input, nowMs),
		}),
	},
};
