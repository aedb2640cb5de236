import {type FakeRequest} from '../../fakes/index.js';
import {type ProofPoint} from '../proofpoint.js';
import {
	type SimulatedService, CaseSimulation, createRequest, retryTokensOf,
} from '../casesimulation.js';

const FULL_POT = 8;
const FAIL_SHARES = [0.05, 0.3, 1];

// A chain or a tree whose every hop fails, by shape number.
function servicesOf(variant: number): SimulatedService[] {
	const isTree = variant % 3 === 0;
	const depth = isTree ? 4 : 2 + (variant % 21);
	const failShare = FAIL_SHARES[variant % FAIL_SHARES.length];
	return Array.from({length: depth}, (_, at) => ({
		name: `s${at}`,
		upstreams: depth > 8 ? 2 : 3,
		target: {
			slots: 50, meanMs: 4, breakShare: variant % 2 === 0 ? failShare : 0, failShare: at === depth - 1 ? failShare : 0,
		},
		calls: at === depth - 1 ? [] : [isTree ? [`s${at + 1}/read`, `s${at + 1}/read`, `s${at + 1}/read`] : [`s${at + 1}/read`]],
	}));
}

/** Extra attempts over the whole tree of one caller's request stay within its pot. */
export const retryBound: ProofPoint = {
	name: 'retry-bound',
	limits: {
		kinds: ['kill', 'restart', 'pause', 'cut'], maxFaults: 4, networkFaults: true, requests: [2, 8], untilMs: 1500,
	},
	run(plan, sabotage) {
		const sends = new Map<string, number>();
		const rootOf = new Map<string, string>();
		const services = servicesOf(plan.variant);
		const world = new CaseSimulation({
			plan, services, sabotage, dropsContext: plan.variant % 5 === 4,
		});
		const count = (request: FakeRequest) => {
			sends.set(request.callId!, (sends.get(request.callId!) ?? 0) + 1);
			rootOf.set(request.callId!, request.root);
		};

		world.site.network.onSend = (_from, frame) => {
			if (frame.type === 'call') {
				count(frame.call.payload as FakeRequest);
			}
		};

		world.scheduleFaults();
		for (let number = 0; number < plan.requests; number++) {
			world.site.scheduler.schedule(world.site.random.between(0, 1500), () => {
				const request = createRequest(`root${number}`, 's0', 'read');
				world.send(world.site.random.pick(world.site.ids), request, {budgetMs: 1500}, () => undefined);
			});
		}

		world.site.run(2500);
		world.endFaultsAndRun(2500);
		const extra = new Map<string, number>();
		for (const [callId, count] of sends) {
			const root = rootOf.get(callId)!;
			extra.set(root, (extra.get(root) ?? 0) + Math.max(0, count - 1));
		}

		const pot = retryTokensOf(services);
		const violations = [...extra].filter(([, count]) => count > pot).map(([root, count]) => `${root}: ${count} extra attempts, pot ${pot}`);
		return {violations, faultCounts: {...world.faultCounts, 'failing hops': services.length}, requests: world.requests};
	},
	sabotage: {
		title: 'the pot is copied down instead of shared',
		apply: node => ({
			step: (input, nowMs) => node.step(input, nowMs).map(output => (output.type === 'frame' && output.frame.type === 'call'
				? {...output, frame: {...output.frame, call: {...output.frame.call, tokens: FULL_POT}}}
				: output)),
		}),
	},
};
