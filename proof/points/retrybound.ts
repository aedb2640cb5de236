import {type FakeRequest} from '../../fakes/index.js';
import {type ProofPoint} from '../proofpoint.js';
import {
	type SimulatedService, CaseSimulation, createRequest, retryTokensOf,
} from '../casesimulation.js';

/** The largest number of retry tokens that a generated configuration gives a request. */
const FULL_RETRY_TOKENS = 8;
const FAIL_SHARES = [0.05, 0.3, 1];

// Builds a call chain or a call tree whose every hop can fail; the plan's variant selects its form.
function createServices(variant: number): SimulatedService[] {
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

/** Retries over the whole call tree of one caller's request stay within the request's retry tokens. */
export const retryBound: ProofPoint = {
	name: 'retry-bound',
	limits: {
		kinds: ['kill', 'restart', 'pause', 'cut'], maxFaults: 4, networkFaults: true, requests: [2, 8], untilMs: 1500,
	},
	run(plan, sabotage) {
		const sends = new Map<string, number>();
		const rootOf = new Map<string, string>();
		const services = createServices(plan.variant);
		const simulation = new CaseSimulation({
			plan, services, sabotage, dropsContext: plan.variant % 5 === 4,
		});
		const count = (request: FakeRequest) => {
			sends.set(request.callId!, (sends.get(request.callId!) ?? 0) + 1);
			rootOf.set(request.callId!, request.root);
		};

		simulation.site.network.onSend = (_from, frame) => {
			if (frame.type === 'call') {
				count(frame.call.payload as FakeRequest);
			}
		};

		simulation.scheduleFaults();
		for (let number = 0; number < plan.requests; number++) {
			simulation.site.scheduler.schedule(simulation.site.random.between(0, 1500), () => {
				const request = createRequest(`root${number}`, 's0', 'read');
				simulation.send(simulation.site.random.pick(simulation.site.ids), request, {budgetMs: 1500}, () => undefined);
			});
		}

		simulation.site.run(2500);
		simulation.endFaultsAndRun(2500);
		const extra = new Map<string, number>();
		for (const [callId, count] of sends) {
			const root = rootOf.get(callId)!;
			extra.set(root, (extra.get(root) ?? 0) + Math.max(0, count - 1));
		}

		const retryTokens = retryTokensOf(services);
		const violations = [...extra].filter(([, count]) => count > retryTokens).map(([root, count]) => `${root}: ${count} extra attempts, ${retryTokens} retry tokens`);
		return {violations, faultCounts: {...simulation.faultCounts, 'failing hops': services.length}, requests: simulation.requests};
	},
	sabotage: {
		title: 'every call gets a full set of retry tokens instead of a share',
		apply: core => ({
			step: (input, nowMs) => core.step(input, nowMs).map(output => (output.type === 'frame' && output.frame.type === 'call'
				? {...output, frame: {...output.frame, call: {...output.frame.call, tokens: FULL_RETRY_TOKENS}}}
				: output)),
		}),
	},
};
