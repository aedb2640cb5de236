import {type Accountants} from './accountants.js';
import {
	type Allowance, type AllowanceNews, type BudgetLimit, type BudgetRoom, type UsageReport,
} from './budget.js';
import {Ledger} from './ledger.js';

/** How long an accountant listens before it answers, in intervals of reports: each daemon has reported by then. */
const LISTENING_INTERVALS = 3;
/** How long it listens if it hears all daemons. */
const LISTENING_INTERVALS_TO_ALL = 1;
/** How long a daemon counts as heard after its last report, and a view that this daemon had itself as the same, in intervals. */
const HEARD_INTERVALS = 8;
/** A budget that was limited is calm again when more than this share of what is wanted may be spent. */
const CALM_FRACTION = 1.25;
/** A limited budget is told to all daemons at once when its fraction has fallen to this share of what they were told; otherwise with the next replies. */
const PUSH_FRACTION = 0.75;

/** A budget that has become limited, or calm again. */
export type BudgetChange = {readonly budget: string; readonly isLimited: boolean; readonly fraction: number; readonly wantedPerS: number};

/**
 * The accounts of the budgets that this daemon is the accountant of.
 * Handles the load pattern in which one organisation sends many times what it
 * may, spread so thinly over all daemons that it is visible at none of them.
 */
export class Account {
	readonly #host: string;
	readonly #room: BudgetRoom;
	#limits: ReadonlyMap<string, BudgetLimit> = new Map();
	#intervalMs = 0;
	#knownCount = 1;
	readonly #ledgers = new Map<string, Ledger>();
	readonly #heard = new Map<string, {heardMs: number; view: number}>();
	/** The limited budgets, with the fraction that all daemons were last told. */
	readonly #limited = new Map<string, number>();
	/** The views that this daemon has, or had until the time. */
	readonly #views = new Map<number, number>();
	#listensSinceMs: number | undefined;
	#scale = 0;
	#isPushDue = false;

	/** @param host this daemon's host */
	constructor(host: string, room: BudgetRoom) {
		this.#host = host;
		this.#room = room;
	}

	/** The limited budgets, with the share that may be spent of what is wanted. */
	get limited(): ReadonlyMap<string, number> {
		return this.#limited;
	}

	/** The part of the fleet that reports to this accountant. */
	get scale(): number {
		return this.#scale;
	}

	/** Whether this daemon is an accountant that has begun to listen. */
	get isListening(): boolean {
		return this.#listensSinceMs !== undefined;
	}

	/** Whether all daemons should be told at once of a budget that has become limited. */
	get isPushDue(): boolean {
		return this.#isPushDue;
	}

	/** Whether the daemon has reported lately. */
	hears(host: string): boolean {
		return this.#heard.has(host);
	}

	ledgerOf(budget: string): Ledger | undefined {
		return this.#ledgers.get(budget);
	}

	setLimits(limits: ReadonlyMap<string, BudgetLimit>, nowMs: number): void {
		this.#limits = limits;
		for (const [budget, ledger] of this.#ledgers) {
			const limit = limits.get(budget);
			if (limit === undefined) {
				this.#ledgers.delete(budget);
				this.#limited.delete(budget);
			} else {
				ledger.setLimit(limit, nowMs);
			}
		}
	}

	/** Sets which accountants this daemon knows. */
	setAccountants(accountants: Accountants, nowMs: number): void {
		const isElected = accountants.hosts.includes(this.#host);
		this.#listensSinceMs = isElected ? (this.#listensSinceMs ?? nowMs) : undefined;
		for (const [view, untilMs] of this.#views) {
			this.#views.set(view, Math.min(untilMs, nowMs + (HEARD_INTERVALS * this.#intervalMs)));
		}

		this.#views.set(accountants.view, Number.POSITIVE_INFINITY);
		for (const budget of this.#ledgers.keys()) {
			if (accountants.of(budget) !== this.#host) {
				this.#ledgers.delete(budget);
				this.#limited.delete(budget);
			}
		}
	}

	/** Updates which part of the fleet reports here. @param knownCount the number of daemons that may be running */
	check(knownCount: number, intervalMs: number, nowMs: number): void {
		this.#knownCount = knownCount;
		this.#intervalMs = intervalMs;
		for (const [view, untilMs] of this.#views) {
			if (untilMs < nowMs) {
				this.#views.delete(view);
			}
		}

		let heardCount = 0;
		for (const [host, {heardMs, view}] of this.#heard) {
			if (nowMs - heardMs > HEARD_INTERVALS * intervalMs) {
				this.#heard.delete(host);
			} else if (this.#views.has(view)) {
				heardCount++;
			}
		}

		this.#scale = Math.min(1, heardCount / Math.max(1, this.#knownCount));
		for (const ledger of this.#ledgers.values()) {
			ledger.setScale(this.#scale, nowMs);
		}
	}

	/** Enters a report. @returns the budgets that it has made limited, or calm */
	record({host, view, usages}: UsageReport, nowMs: number): BudgetChange[] {
		this.#heard.set(host, {heardMs: nowMs, view});
		const changes: BudgetChange[] = [];
		for (const usage of usages) {
			const {budget} = usage;
			const ledger = this.#openLedger(budget, nowMs);
			if (ledger !== undefined) {
				ledger.record(usage, nowMs);
				this.#judge(budget, ledger, changes, nowMs);
			}
		}

		return changes;
	}

	/** Judges the limited budgets anew, of which no report may come any longer. @returns those that are calm again */
	review(nowMs: number): BudgetChange[] {
		const changes: BudgetChange[] = [];
		for (const budget of this.#limited.keys()) {
			this.#judge(budget, this.#ledgers.get(budget)!, changes, nowMs);
		}

		return changes;
	}

	/** Records that all daemons are being told. */
	onPush(): void {
		this.#isPushDue = false;
	}

	/** What to tell a daemon, in reply to a report or, without one, to all. */
	tell(report: UsageReport | undefined, nowMs: number): AllowanceNews {
		const listeningMs = (this.#scale < 1 ? LISTENING_INTERVALS : LISTENING_INTERVALS_TO_ALL) * this.#intervalMs;
		const isReady = this.#listensSinceMs !== undefined && nowMs - this.#listensSinceMs >= listeningMs && this.#scale > 0;
		const news = {
			host: this.#host, isReady, isReply: report !== undefined, askedPerS: [...this.#ledgers.values()].reduce((sum, {askedPerS}) => sum + askedPerS, 0),
		};
		if (!isReady) {
			return {...news, allowances: []};
		}

		const budgets = new Set(this.#limited.keys());
		for (const {budget} of report?.usages ?? []) {
			budgets.add(budget);
		}

		return {...news, allowances: [...budgets].flatMap(budget => this.#allowanceOf(budget, nowMs))};
	}

	#openLedger(budget: string, nowMs: number): Ledger | undefined {
		const limit = this.#limits.get(budget);
		let ledger = this.#ledgers.get(budget);
		if (ledger === undefined && limit !== undefined) {
			ledger = new Ledger(limit, this.#room, nowMs);
			ledger.setScale(this.#scale, nowMs);
			this.#ledgers.set(budget, ledger);
		}

		return ledger;
	}

	#judge(budget: string, ledger: Ledger, changes: BudgetChange[], nowMs: number): void {
		const fraction = ledger.fraction(nowMs);
		const told = this.#limited.get(budget);
		const isLimited = fraction < (told === undefined ? 1 : CALM_FRACTION);
		if (!isLimited) {
			this.#limited.delete(budget);
		} else if (fraction < (told ?? 1) * PUSH_FRACTION) {
			this.#limited.set(budget, fraction);
			this.#isPushDue = true;
		} else {
			this.#limited.set(budget, Math.max(fraction, told ?? 1));
		}

		if (isLimited !== (told !== undefined)) {
			changes.push({
				budget, isLimited, fraction, wantedPerS: ledger.wantedPerS,
			});
		}
	}

	#allowanceOf(budget: string, nowMs: number): Allowance[] {
		const ledger = this.#ledgers.get(budget);
		if (ledger === undefined) {
			return [];
		}

		return [{
			budget, fraction: Math.min(1, ledger.fraction(nowMs)), usedPerS: ledger.usedPerS, askedPerS: ledger.askedPerS, spendable: ledger.spendable,
		}];
	}
}
