import {LEVELS_PER_RANK, type Call, type Frame} from '../../src/core/index.js';
import {type FakeRequest, type FakeSite, type SiteObserver} from '../../fakes/index.js';
import {type CaseResult, type ProofPoint} from '../proofpoint.js';
import {type SimulatedService, CaseSimulation, createRequest} from '../casesimulation.js';

const OVERLOAD = new Set(['overload', 'evicted', 'expired']);
const CAPACITY = 100;
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

type Waiting = {readonly rank: number; readonly call: Call; readonly deadlineMs: number};

// Watches what comes to and leaves each target's daemon, and keeps its own
// account of what is queued there.
class ShedOrderWitness {
	readonly violations: string[] = [];
	refusals = 0;
	readonly #queued = new Map<string, Map<string, Waiting>>();
	#site: FakeSite | undefined;

	/** Lets the witness read the time once there is a site. */
	attachSite(site: FakeSite): void {
		this.#site = site;
	}

	get witness(): SiteObserver {
		return {
			onInput: (host, input) => {
				if (input.type === 'frame' && input.frame.type === 'call') {
					const {call, id} = input.frame;
					this.#at(host).set(`${input.peer}/${id}`, {rank: Math.floor(call.level / LEVELS_PER_RANK), call, deadlineMs: this.#site!.nowMs + call.budgetMs});
				} else if (input.type === 'frame' && input.frame.type === 'cancel') {
					this.#at(host).delete(`${input.peer}/${input.frame.id}`);
				} else if (input.type === 'link' && input.side === 'in' && !input.up) {
					this.#dropPeer(host, input.peer);
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

	#at(host: string): Map<string, Waiting> {
		const queued = this.#queued.get(host) ?? new Map<string, Waiting>();
		this.#queued.set(host, queued);
		return queued;
	}

	#dropPeer(host: string, peer: string): void {
		for (const id of this.#at(host).keys()) {
			if (id.startsWith(`${peer}/`)) {
				this.#at(host).delete(id);
			}
		}
	}

	#onRun(host: string, request: FakeRequest): void {
		for (const [id, {call}] of this.#at(host)) {
			if ((call.payload as FakeRequest).callId === request.callId) {
				this.#at(host).delete(id);
				return;
			}
		}
	}

	#onAnswer(host: string, peer: string, {id, answer}: Extract<Frame, {type: 'answer'}>): void {
		const queued = this.#at(host);
		const refused = queued.get(`${peer}/${id}`);
		queued.delete(`${peer}/${id}`);
		if (refused === undefined || answer.outcome !== 'not-run' || !OVERLOAD.has(answer.reason ?? '')) {
			return;
		}

		// One whose caller's time is over is not refused for overload; a sender that
		// was paused passes on what is left of it.
		if (answer.reason === 'expired' && this.#site!.nowMs >= refused.deadlineMs) {
			return;
		}

		this.refusals++;
		const lower = [...queued.values()].find(({rank}) => rank < refused.rank);
		if (lower !== undefined) {
			this.violations.push(`${host}: rank ${refused.rank} refused (${answer.reason}) while rank ${lower.rank} is queued`);
		}
	}
}

/** Status checks and searches go before submissions, bookings, holds and invoices. */
export const shedOrder: ProofPoint = {
	name: 'shed-order',
	limits: {
		kinds: ['pause', 'cut'], maxFaults: 2, networkFaults: false, requests: [1000, 1000], untilMs: 1500,
	},
	run(plan, sabotage): CaseResult {
		const shed = new ShedOrderWitness();
		const world = new CaseSimulation({
			plan, services: SERVICES, sabotage, witness: shed.witness,
		});
		const {site} = world;
		shed.attachSite(site);
		const isSlow = plan.variant % 2 === 1;
		const hasFaults = plan.faults.length > 0;
		const factor = isSlow ? 1 : 10;
		const importantRate = CAPACITY * (0.2 + (0.3 * (plan.variant % 10) / 10));
		const tally = {
			important: 0, importantComplete: 0, other: 0, otherComplete: 0,
		};
		if (isSlow) {
			for (const id of ['deep-0', 'deep-1']) {
				site.target(id)!.slowdown = DEEP_SLOWDOWN;
			}
		}

		world.scheduleFaults();
		const stream = (rate: number, isImportant: boolean) => {
			for (let at = 0; at < rate * SURGE_MS / 1000; at++) {
				site.scheduler.schedule(site.random.between(0, SURGE_MS), () => {
					const root = `${isImportant ? 'w' : 'r'}${at}`;
					tally[isImportant ? 'important' : 'other']++;
					world.send(site.random.pick(site.ids), createRequest(root, 'front', isImportant ? 'write' : 'read'), {key: isImportant ? root : undefined, attempt: 1, budgetMs: 2000}, ({outcome}) => {
						if (outcome === 'complete') {
							tally[isImportant ? 'importantComplete' : 'otherComplete']++;
						}
					});
				});
			}
		};

		stream(importantRate, true);
		stream((factor * CAPACITY) - importantRate, false);
		site.run(SURGE_MS);
		world.endFaultsAndRun(3000);
		const violations = shed.violations.slice(0, 3);
		const importantShare = tally.importantComplete / tally.important;
		const otherShare = tally.otherComplete / tally.other;
		if (isSlow && !hasFaults && importantShare < otherShare) {
			violations.push(`deep slowdown: important ${importantShare.toFixed(3)}, other ${otherShare.toFixed(3)} of demand complete`);
		}

		return {
			violations,
			faultCounts: {...world.faultCounts, [isSlow ? 'deep slowdown' : 'surge']: 1, refusals: shed.refusals},
			requests: world.requests,
			totals: isSlow || hasFaults ? undefined : {important: tally.important, importantComplete: tally.importantComplete},
		};
	},
	checkTotals({important = 0, importantComplete = 0}) {
		return important > 0 && importantComplete < 0.999 * important ? [`at 10 times the demand ${importantComplete} of ${important} important requests complete, below 99.9%`] : [];
	},
	sabotage: {
		title: 'ranks are turned upside down on arrival at a target',
		apply: node => ({
			step(input, nowMs) {
				if (input.type !== 'frame' || input.frame.type !== 'call') {
					return node.step(input, nowMs);
				}

				const {call} = input.frame;
				return node.step({...input, frame: {...input.frame, call: {...call, level: (7 * LEVELS_PER_RANK) - call.level}}}, nowMs);
			},
		}),
	},
};
