import {type CallerAnswer} from '../fakes/index.js';
import {type CaseSimulation, createRequest, createTimedKey} from './casesimulation.js';

/** Bounds the sends of one caller's request. */
const MAX_SENDS = 5;
const RESEND_AFTER_ANSWER_SHARE = 0.1;

/** The answer that a caller received for one of its sends. */
export type ReceivedAnswer = {
	/** Number of the send that is answered, from 1. */
	readonly sendNumber: number;
	readonly outcome: CallerAnswer['outcome'];
	readonly reason?: string;
	readonly atMs: number;
};

/** One caller's request and every answer that the caller received. */
export type CallerRecord = {
	readonly root: string;
	readonly operation: 'read' | 'write';
	readonly sentMs: number;
	readonly received: ReceivedAnswer[];
	wrongDigestCount: number;
	sendCount: number;
};

/** Behaviour of the callers of a case. */
export type CallerOptions = {
	readonly service: string;
	readonly requests: number;
	readonly overMs: number;
	readonly writeShare: number;
	/** Share of answers that are lost on the way to the caller. */
	readonly lostAnswerShare: number;
	readonly waitMs: number;
	readonly isResending: boolean;
	/** Share of callers that resend after they received a complete answer. */
	readonly resendAfterAnswerShare?: number;
	/** Share of requests whose idempotency key carries no creation time. */
	readonly untimedKeyShare?: number;
};

/** Callers that spread their requests over `overMs`, each to a random daemon, and resend at once without back-off. */
export class SimulatedCallers {
	readonly records: CallerRecord[] = [];
	readonly #simulation: CaseSimulation;
	readonly #options: CallerOptions;

	constructor(simulation: CaseSimulation, options: CallerOptions) {
		this.#simulation = simulation;
		this.#options = options;
		const {site} = simulation;
		for (let number = 0; number < options.requests; number++) {
			site.scheduler.schedule(site.random.between(0, options.overMs), () => {
				this.#startRequest(number);
			});
		}
	}

	#startRequest(number: number): void {
		const {site} = this.#simulation;
		const {writeShare, untimedKeyShare = 0} = this.#options;
		const operation = site.random.chance(writeShare) ? 'write' : 'read';
		const root = site.random.chance(untimedKeyShare) ? `key-${number}` : createTimedKey(site.nowMs, number);
		const record: CallerRecord = {
			root, operation, sentMs: site.nowMs, received: [], wrongDigestCount: 0, sendCount: 0,
		};
		this.records.push(record);
		this.#send(record, 1);
	}

	// A caller whose last send found no running daemon chooses among the hosts that are up.
	#chooseHost(record: CallerRecord): string {
		const {site} = this.#simulation;
		const runningHosts = site.ids.filter(id => site.isUp(id));
		return site.random.pick(record.received.at(-1)?.outcome === 'unsent' && runningHosts.length > 0 ? runningHosts : site.ids);
	}

	#send(record: CallerRecord, attempt: number): void {
		const {site} = this.#simulation;
		const {service, lostAnswerShare, waitMs} = this.#options;
		const number = ++record.sendCount;
		const request = createRequest(record.root, service, record.operation, number);
		let isSettled = false;
		const pendingSend = this.#simulation.send(this.#chooseHost(record), request, {
			key: record.operation === 'write' ? record.root : undefined,
			attempt,
			budgetMs: waitMs,
			loseAnswer: site.random.chance(lostAnswerShare),
		}, answer => {
			if (!isSettled) {
				isSettled = true;
				this.#onAnswer(record, {attempt, number}, answer);
			}
		});
		site.scheduler.schedule(waitMs * site.random.between(0.3, 1.2), () => {
			if (!isSettled) {
				isSettled = true;
				pendingSend.abandon();
				this.#resend(record, attempt + 1);
			}
		});
	}

	#onAnswer(record: CallerRecord, {attempt, number}: {attempt: number; number: number}, answer: CallerAnswer): void {
		const {outcome, reason, digest} = answer;
		record.received.push({
			sendNumber: number, outcome, reason, atMs: this.#simulation.site.nowMs,
		});
		if (outcome === 'complete') {
			record.wrongDigestCount += digest === `digest of ${record.root}` ? 0 : 1;
			if (this.#simulation.site.random.chance(this.#options.resendAfterAnswerShare ?? RESEND_AFTER_ANSWER_SHARE)) {
				this.#resend(record, attempt + 1);
			}

			return;
		}

		this.#resend(record, outcome === 'not-run' || outcome === 'unsent' ? attempt : attempt + 1);
	}

	#resend(record: CallerRecord, attempt: number): void {
		if (this.#options.isResending && record.sendCount < MAX_SENDS) {
			this.#send(record, attempt);
		}
	}
}
