import {type Clock} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {RANK_COUNT} from '../../core/index.js';
import {type BudgetLimit, type BudgetSharing, largestOrganisations} from '../../mesh/index.js';

/** The organisations that metrics tell apart; the others are counted together. */
const MAX_SERIES = 8;
const OTHER_ORGANISATIONS = 'other';
/** Limits of what a refused client is told to wait, in ms: less is no relief, and after more the load has changed. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 5000;

/** The decision on a request: its token, which is given back at most once if it doesn't run, or when there will be one. */
export type QuotaDecision = {readonly isAdmitted: true; readonly giveBack: () => void} | {readonly isAdmitted: false; readonly retryAfterMs: number};

/** Admits the requests of organisations within their quotas. */
export class QuotaGate {
	readonly #sharing: BudgetSharing;
	readonly #clock: Clock;
	readonly #log: EventLog;
	#limits: ReadonlyMap<string, BudgetLimit> = new Map();
	#largest: ReadonlySet<string> = new Set();

	constructor({sharing, clock, log}: {sharing: BudgetSharing; clock: Clock; log: EventLog}) {
		this.#sharing = sharing;
		this.#clock = clock;
		this.#log = log;
	}

	setLimits(limits: ReadonlyMap<string, BudgetLimit>): void {
		this.#limits = limits;
		this.#largest = largestOrganisations(limits, MAX_SERIES);
	}

	/** Takes a token of the organisation's quota. @param rank of the request; 0 is the highest @returns undefined if it has none */
	tryAdmit(organisation: string | undefined, rank: number): QuotaDecision | undefined {
		if (organisation === undefined || !this.#limits.has(organisation)) {
			return undefined;
		}

		const admission = this.#sharing.trySpend(organisation, Math.min(RANK_COUNT - 1, Math.max(0, Math.floor(rank))), this.#clock.nowMs());
		this.#log.registry.count(admission.isAdmitted ? 'quota_admitted' : 'quota_denied', {organisation: this.#largest.has(organisation) ? organisation : OTHER_ORGANISATIONS});
		if (!admission.isAdmitted) {
			return {isAdmitted: false, retryAfterMs: Math.min(Math.max(admission.retryAfterMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)};
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
