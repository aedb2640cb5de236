import {LEVELS_PER_RANK, type Call, type Frame} from '../../src/core/index.js';
import {type FakeRequest, type FakeSite, type SiteObserver} from '../../fakes/index.js';
import {type CaseResult, type ProofPoint} from '../proofpoint.js';
import {type SimulatedService, CaseSimulation, createRequest} from '../casesimulation.js';

const OVERLOAD_REASONS = new Set(['overload', 'evicted', 'expired']);
const CAPACITY_RPS = 100;
const SURGE_MS = 2000;
const DEEP_SLOWDOWN = 5;

const SERVICES: SimulatedService[] = [
	{
		name: 'front', upstreams: 2, target: {slots: 24, meanMs: 8}, calls: [['deep/read']],
	},
	{
		name: 'deep', upstreams: 2, target: {slots: 2, meanMs: 40}, calls: [],
	},
];

type QueuedCall = {readonly rank: number; readonly call: Call; readonly deadlineMs: number};

// Observes the input and output of each target's daemon and tracks independently which calls are queued there.
class ShedOrderWitness {
	readonly violations: string[] = [];
	refusals = 0;
	readonly #queued = new Map<string, Map<string, QueuedCall>>();
	#site: FakeSite | undefined;

	/** Gives the witness the site's clock; the site is created after the witness. */
	attachSite(site: FakeSite): void {
		this.#site = site;
	}

	get witness(): SiteObserver {
		return {
			onInput: (host, input) => {
				if (input.type === 'frame' && input.frame.type === 'call') {
					const {call, id} = input.frame;
					this.#queueOf(host).set(`${input.peer}/${id}`, {rank: Math.floor(call.level / LEVELS_PER_RANK), call, deadlineMs: this.#site!.nowMs + call.budgetMs});
				} else if (input.type === 'frame' && input.frame.type === 'cancel') {
					this.#queueOf(host).delete(`${input.peer}/${input.frame.id}`);
				} else if (input.type === 'link' && input.side === 'in' && !input.up) {
					this.#removeCallsOf(host, input.peer);
				}
			},
			onRun: (host, request) => {
				this.#onRun(host, request);
			},
			onOutput: (host, output) => {
				if (output.type === 'frame' && output.side === 'in' && output.frame.type === 'answer') {
					this.#onAnswer(host, output.peer, output.frame);
				}
			},
		};
	}

	#queueOf(host: string): Map<string, QueuedCall> {
		const queued = this.#queued.get(host) ?? new Map<string, QueuedCall>();
		this.#queued.set(host, queued);
		return queued;
	}

	#removeCallsOf(host: string, peer: string): void {
		for (const id of this.#queueOf(host).keys()) {
			if (id.startsWith(`${peer}/`)) {
				this.#queueOf(host).delete(id);
			}
		}
	}

	#onRun(host: string, request: FakeRequest): void {
		for (const [id, {call}] of this.#queueOf(host)) {
			if ((call.payload as FakeRequest).callId === request.callId) {
				this.#queueOf(host).delete(id);
				return;
			}
		}
	}

	#onAnswer(host: string, peer: string, {id, answer}: Extract<Frame, {type: 'answer'}>): void {
		const queued = this.#queueOf(host);
		const refused = queued.get(`${peer}/${id}`);
		queued.delete(`${peer}/${id}`);
		if (refused === undefined || answer.outcome !== 'not-run' || !OVERLOAD_REASONS.has(answer.reason ?? '')) {
			return;
		}

		// A call past its caller's deadline isn't refused for overload. A sender that was paused
		// forwards calls with little time left.
		if (answer.reason === 'expired' && this.#site!.nowMs >= refused.deadlineMs) {
			return;
		}

		this.refusals++;
		const lower = [...queued.values()].find(({rank}) => rank < refused.rank);
		if (lower !== undefined) {
			this.violations.push(`${host}: rank ${refused.rank} refused (${answer.reason}) while rank ${lower.rank} is still queued`);
		}
	}
}

/** Under overload, status checks and searches are shed before submissions, bookings, holds and invoices. */
export const shedOrder: ProofPoint = {
	name: 'shed-order',
	limits: {
		kinds: ['pause', 'cut'], maxFaults: 2, networkFaults: false, requests: [1000, 1000], untilMs: 1500,
	},
	run(plan, sabotage): CaseResult {
		const shedWitness = new ShedOrderWitness();
		const simulation = new CaseSimulation({
			plan, services: SERVICES, sabotage, witness: shedWitness.witness,
		});
		const {site} = simulation;
		shedWitness.attachSite(site);
		const isSlow = plan.variant % 2 === 1;
		const hasFaults = plan.faults.length > 0;
		const factor = isSlow ? 1 : 10;
		const importantRate = CAPACITY_RPS * (0.2 + (0.3 * (plan.variant % 10) / 10));
		const counts = {
			important: 0, importantComplete: 0, other: 0, otherComplete: 0,
		};
		if (isSlow) {
			for (const id of ['deep-0', 'deep-1']) {
				site.target(id)!.slowdown = DEEP_SLOWDOWN;
			}
		}

		simulation.scheduleFaults();
		const scheduleRequests = (rate: number, isImportant: boolean) => {
			for (let at = 0; at < rate * SURGE_MS / 1000; at++) {
				site.scheduler.schedule(site.random.between(0, SURGE_MS), () => {
					const root = `${isImportant ? 'w' : 'r'}${at}`;
					counts[isImportant ? 'important' : 'other']++;
					simulation.send(site.random.pick(site.ids), createRequest(root, 'front', isImportant ? 'write' : 'read'), {
						key: isImportant ? root : undefined, attempt: 1, budgetMs: 2000,
					}, ({outcome}) => {
						if (outcome === 'complete') {
							counts[isImportant ? 'importantComplete' : 'otherComplete']++;
						}
					});
				});
			}
		};

		scheduleRequests(importantRate, true);
		scheduleRequests((factor * CAPACITY_RPS) - importantRate, false);
		site.run(SURGE_MS);
		simulation.endFaultsAndRun(3000);
		const violations = shedWitness.violations.slice(0, 3);
		const importantShare = counts.importantComplete / counts.important;
		const otherShare = counts.otherComplete / counts.other;
		if (isSlow && !hasFaults && importantShare < otherShare) {
			violations.push(`deep slowdown: completed share ${importantShare.toFixed(3)} of important and ${otherShare.toFixed(3)} of other requests`);
		}

		return {
			violations,
			faultCounts: {...simulation.faultCounts, [isSlow ? 'deep slowdown' : 'surge']: 1, refusals: shedWitness.refusals},
			requests: simulation.requests,
			totals: isSlow || hasFaults ? undefined : {important: counts.important, importantComplete: counts.importantComplete},
		};
	},
	checkTotals({important = 0, importantComplete = 0}) {
		return important > 0 && importantComplete < 0.999 * important ? [`at 10 times the demand ${importantComplete} of ${important} important requests complete, below 99.9%`] : [];
	},
	sabotage: {
		title: 'the order of ranks is reversed when a call arrives at a target',
		apply: core => ({
			step(input, nowMs) {
				if (input.type !== 'frame' || input.frame.type !== 'call') {
					return core.step(input, nowMs);
				}

				const {call} = input.frame;
				return core.step({...input, frame: {...input.frame, call: {...call, level: (7 * LEVELS_PER_RANK) - call.level}}}, nowMs);
			},
		}),
	},
};
