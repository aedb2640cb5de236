import {type Clock} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {RANK_COUNT} from '../../core/index.js';
import {
	type BudgetLimit, type BudgetSharing, largestOrganisations, latestRetryAfterMs,
} from '../../mesh/index.js';

/** The organisations that metrics tell apart; the others are counted together. */
const MAX_SERIES = 8;
const OTHER_ORGANISATIONS = 'other';
/** Limits of what a refused client is told to wait, in ms: less is no relief, and after more the load has changed. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 5000;
/** The part of an organisation's requests of one rank that is admitted below which the refused are told to come back as late as they may. */
const MIN_FRACTION = 0.5;

/** The decision on a request: its token, which is given back at most once if it doesn't run, or when there will be one. */
export type QuotaDecision = {readonly isAdmitted: true; readonly giveBack: () => void} | {readonly isAdmitted: false; readonly retryAfterMs: number};

/** Admits the requests of organisations within their quotas. */
export class QuotaGate {
	readonly #sharing: BudgetSharing;
	readonly #clock: Clock;
	readonly #log: EventLog;
	readonly #random: () => number;
	#limits: ReadonlyMap<string, BudgetLimit> = new Map();
	#largest: ReadonlySet<string> = new Set();

	constructor({sharing, clock, log, random}: {sharing: BudgetSharing; clock: Clock; log: EventLog; random: () => number}) {
		this.#sharing = sharing;
		this.#clock = clock;
		this.#log = log;
		this.#random = random;
	}

	setLimits(limits: ReadonlyMap<string, BudgetLimit>): void {
		this.#limits = limits;
		this.#largest = largestOrganisations(limits, MAX_SERIES);
	}

	/** Counts a request that is refused for overload. */
	onShed(organisation: string | undefined): void {
		if (organisation !== undefined) {
			this.#sharing.recordAsked(organisation, this.#clock.nowMs());
		}
	}

	/** Takes a token of the organisation's quota. @param rank of the request; 0 is the highest @param leftMs how long its client waits, in ms @returns undefined if it has none */
	tryAdmit(organisation: string | undefined, rank: number, leftMs: number): QuotaDecision | undefined {
		if (organisation === undefined) {
			return undefined;
		}

		if (!this.#limits.has(organisation)) {
			this.#sharing.recordAsked(organisation, this.#clock.nowMs());
			return undefined;
		}

		const admission = this.#sharing.trySpend(organisation, Math.min(RANK_COUNT - 1, Math.max(0, Math.floor(rank))), this.#clock.nowMs());
		this.#log.registry.count(admission.isAdmitted ? 'quota_admitted' : 'quota_denied', {organisation: this.#largest.has(organisation) ? organisation : OTHER_ORGANISATIONS});
		if (!admission.isAdmitted) {
			// If fewer than half have a token, those that come back wait in a line that only grows: the later, the likelier it is over.
			const retryAfterMs = admission.fraction < MIN_FRACTION ? latestRetryAfterMs(leftMs, this.#random) : admission.retryAfterMs;
			return {isAdmitted: false, retryAfterMs: Math.min(Math.max(retryAfterMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)};
		}

		let isGivenBack = false;
		return {
			isAdmitted: true,
			giveBack: () => {
				if (!isGivenBack) {
					isGivenBack = true;
					this.#sharing.giveBack(organisation, this.#clock.nowMs());
				}
			},
		};
	}
}
