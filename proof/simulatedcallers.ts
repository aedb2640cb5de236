import {type CallerAnswer} from '../fakes/index.js';
import {type CaseSimulation, createRequest, createTimedKey} from './casesimulation.js';

const MAX_SENDS = 5;
const ASK_AGAIN_SHARE = 0.1;

/** What a caller was told of one of its sends. */
export type ReceivedAnswer = {
	/** Which of the caller's sends it answers, from 1. */
	readonly sendNumber: number;
	readonly outcome: CallerAnswer['outcome'];
	readonly reason?: string;
	readonly atMs: number;
};

/** One caller's request with all that it was told. */
export type CallerRecord = {
	readonly root: string;
	readonly operation: 'read' | 'write';
	readonly sentMs: number;
	readonly received: ReceivedAnswer[];
	wrongDigestCount: number;
	sendCount: number;
};

/** How callers behave in a case. */
export type CallerOptions = {
	readonly service: string;
	readonly requests: number;
	readonly overMs: number;
	readonly writeShare: number;
	/** The share of answers that get lost on the way back. */
	readonly lostAnswerShare: number;
	readonly waitMs: number;
	readonly isResending: boolean;
	/** The share of callers that ask again although they have their answer. */
	readonly resendAfterAnswerShare?: number;
	/** The share of writes with a key that carries no time. */
	readonly untimedKeyShare?: number;
};

/** Callers that send over a time, to any daemon, and resend hard. */
export class SimulatedCallers {
	readonly records: CallerRecord[] = [];
	readonly #world: CaseSimulation;
	readonly #options: CallerOptions;

	constructor(world: CaseSimulation, options: CallerOptions) {
		this.#world = world;
		this.#options = options;
		const {site} = world;
		for (let number = 0; number < options.requests; number++) {
			site.scheduler.schedule(site.random.between(0, options.overMs), () => {
				this.#begin(number);
			});
		}
	}

	#begin(number: number): void {
		const {site} = this.#world;
		const {writeShare, untimedKeyShare: plainKeyShare = 0} = this.#options;
		const operation = site.random.chance(writeShare) ? 'write' : 'read';
		const root = site.random.chance(plainKeyShare) ? `key-${number}` : createTimedKey(site.nowMs, number);
		const record: CallerRecord = {
			root, operation, sentMs: site.nowMs, received: [], wrongDigestCount: 0, sendCount: 0,
		};
		this.records.push(record);
		this.#send(record, 1);
	}

	// A caller that found no daemon at an address tries one that it can reach.
	#hostFor(record: CallerRecord): string {
		const {site} = this.#world;
		const up = site.ids.filter(id => site.isUp(id));
		return site.random.pick(record.received.at(-1)?.outcome === 'unsent' && up.length > 0 ? up : site.ids);
	}

	#send(record: CallerRecord, attempt: number): void {
		const {site} = this.#world;
		const {service, lostAnswerShare: loseShare, waitMs} = this.#options;
		const number = ++record.sendCount;
		const request = createRequest(record.root, service, record.operation, number);
		let isOver = false;
		const sent = this.#world.send(this.#hostFor(record), request, {
			key: record.operation === 'write' ? record.root : undefined,
			attempt,
			budgetMs: waitMs,
			loseAnswer: site.random.chance(loseShare),
		}, answer => {
			if (!isOver) {
				isOver = true;
				this.#onAnswer(record, {attempt, number}, answer);
			}
		});
		site.scheduler.schedule(waitMs * site.random.between(0.3, 1.2), () => {
			if (!isOver) {
				isOver = true;
				sent.abandon();
				this.#resend(record, attempt + 1);
			}
		});
	}

	#onAnswer(record: CallerRecord, {attempt, number}: {attempt: number; number: number}, answer: CallerAnswer): void {
		const {outcome, reason, digest} = answer;
		record.received.push({
			sendNumber: number, outcome, reason, atMs: this.#world.site.nowMs,
		});
		if (outcome === 'complete') {
			record.wrongDigestCount += digest === `digest of ${record.root}` ? 0 : 1;
			if (this.#world.site.random.chance(this.#options.resendAfterAnswerShare ?? ASK_AGAIN_SHARE)) {
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
