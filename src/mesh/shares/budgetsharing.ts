import {type HostEntry} from '../membership/host.js';
import {Account, type BudgetChange} from './account.js';
import {Accountants, electAccountants} from './accountants.js';
import {
	type Allowance, type AllowanceNews, type BudgetLimit, type BudgetRoom, type UsageReport, roomOf,
} from './budget.js';
import {type BudgetState} from './budgetstate.js';
import {FairOrder} from './fairorder.js';
import {type Admission, Share} from './share.js';

/** The time between two reports to an accountant of what has been spent, in ms. */
const INTERVAL_MS = 250;
/** The most daemons that report so often; with more, the interval grows with their number up to the factor. */
const MAX_DAEMONS_PER_INTERVAL = 128;
const MAX_INTERVAL_FACTOR = 2;
/** After how many intervals a daemon reports that nothing was spent. */
const EMPTY_REPORT_INTERVALS = 2;
/** After how many intervals without a reply a fraction is no longer in force. */
const STALE_INTERVALS = 5;

/** What one accountant has told this daemon last. */
type AccountantNews = {heardMs: number; replies: number; limited: Map<string, Allowance>};

const NO_NEWS: AccountantNews = {heardMs: Number.NEGATIVE_INFINITY, replies: 0, limited: new Map()};

type HeldShare = {readonly share: Share; news: AccountantNews; filledReplies: number};

export type BudgetSharingOptions = {
	/** This daemon's host. */
	readonly host: string;
	readonly room: BudgetRoom;
	readonly random: () => number;
	/** Called when the allowance of a budget may not last until the next report, which should then be sent sooner. */
	readonly onLow: () => void;
};

/** A report that is due, and the host of the accountant that it goes to. */
export type DueReport = {readonly to: string; readonly report: UsageReport};

/**
 * One daemon's part in budgets that all daemons share: what it spends of them,
 * what it reports of that to the accountants, and its own accounts if it is one.
 */
export class BudgetSharing {
	readonly account: Account;
	readonly #fairOrder = new FairOrder();
	readonly #options: BudgetSharingOptions;
	#limits: ReadonlyMap<string, BudgetLimit> = new Map();
	#accountants = new Accountants([]);
	#daemonCount = 1;
	readonly #shares = new Map<string, HeldShare>();
	#news: ReadonlyMap<string, AccountantNews> = new Map();
	/** The accountants that are to be reported to sooner. */
	readonly #low = new Set<string>();
	readonly #reportedMs = new Map<string, number>();

	constructor(options: BudgetSharingOptions) {
		this.#options = options;
		this.account = new Account(options.host, options.room);
	}

	get accountants(): Accountants {
		return this.#accountants;
	}

	/** The time between two reports, in ms. */
	get intervalMs(): number {
		return INTERVAL_MS * Math.min(MAX_INTERVAL_FACTOR, Math.max(1, this.#daemonCount / MAX_DAEMONS_PER_INTERVAL));
	}

	/** Whether any budget has a limit. */
	get isActive(): boolean {
		return this.#limits.size > 0;
	}

	setLimits(limits: ReadonlyMap<string, BudgetLimit>, nowMs: number): void {
		this.#limits = limits;
		this.#fairOrder.setLimits(limits);
		for (const [budget, {share}] of this.#shares) {
			const limit = limits.get(budget);
			if (limit === undefined) {
				this.#shares.delete(budget);
			} else {
				share.setLimit(limit);
			}
		}

		this.account.setLimits(limits, nowMs);
	}

	/**
	 * Sets the hosts that this daemon can reach, itself included.
	 * @returns whether the accountants have changed
	 */
	setHosts(reachable: ReadonlyArray<Pick<HostEntry, 'host' | 'failureDomain'>>, nowMs: number): boolean {
		const accountants = electAccountants(reachable);
		if (accountants.view === this.#accountants.view) {
			return false;
		}

		this.#accountants = accountants;
		const newsByHost = new Map(accountants.hosts.map(host => [host, this.#news.get(host) ?? {heardMs: Number.NEGATIVE_INFINITY, replies: 0, limited: new Map()}]));
		this.#news = newsByHost;
		for (const [budget, held] of this.#shares) {
			const news = this.#newsOf(budget);
			if (news !== held.news) {
				this.#onStale(budget, held);
				held.news = news;
				held.filledReplies = news.replies;
			}
		}

		for (const host of this.#reportedMs.keys()) {
			if (!newsByHost.has(host)) {
				this.#reportedMs.delete(host);
				this.#low.delete(host);
			}
		}

		this.account.setAccountants(accountants, nowMs);
		return true;
	}

	/**
	 * Does what is due at each interval.
	 * @param knownCount the number of daemons that may be running
	 * @returns the budgets that are calm again by this accountant's books
	 */
	check(knownCount: number, nowMs: number): BudgetChange[] {
		this.#daemonCount = Math.max(1, knownCount);
		this.account.check(this.#daemonCount, this.intervalMs, nowMs);
		return this.account.review(nowMs);
	}

	/**
	 * Spends one of a budget if this daemon may. A budget without a limit may always be spent.
	 * @param rank of what it is spent for; 0 is the highest
	 */
	trySpend(budget: string, rank: number, nowMs: number): Admission {
		const limit = this.#limits.get(budget);
		if (limit === undefined) {
			return {isAdmitted: true};
		}

		const held = this.#shareOf(budget, limit, nowMs);
		const {share, news} = held;
		if (held.filledReplies !== news.replies) {
			held.filledReplies = news.replies;
			share.fill();
		}

		const isFresh = this.#isFresh(news, nowMs);
		if (!isFresh) {
			this.#onStale(budget, held);
		}

		const fraction = news.limited.get(budget)?.fraction ?? 1;
		const admission = share.trySpend(fraction, rank, nowMs);
		if (isFresh && share.isLow) {
			this.#low.add(this.#accountants.of(budget)!);
			this.#options.onLow();
		}

		return admission;
	}

	/** The place of a request among all of its rank, by which it is shed: see `FairOrder`. */
	placeOf(budget: string, chance: number, nowMs: number): number {
		return this.#fairOrder.placeOf(budget, chance, nowMs);
	}

	/** Counts a request that spends nothing, because it is shed or the budget has no limit, so that all daemons know what is asked for. */
	recordAsked(budget: string, nowMs: number): void {
		const limit = this.#limits.get(budget);
		if (limit !== undefined) {
			this.#shareOf(budget, limit, nowMs).share.onAsked();
		}
	}

	/** Gives back what was spent for a request that didn't run. */
	giveBack(budget: string, nowMs: number): void {
		this.#shares.get(budget)?.share.giveBack(nowMs);
	}

	/** Describes a budget as far as this daemon knows it. @returns undefined if the budget has no limit */
	stateOf(budget: string, nowMs: number): BudgetState | undefined {
		const limit = this.#limits.get(budget);
		if (limit === undefined) {
			return undefined;
		}

		const news = this.#newsOf(budget);
		const ledger = this.account.ledgerOf(budget);
		return {
			limit,
			accountant: this.#accountants.of(budget),
			newsAgeMs: Number.isFinite(news.heardMs) ? nowMs - news.heardMs : undefined,
			fraction: news.limited.get(budget)?.fraction ?? 1,
			share: this.#shares.get(budget)?.share.stateAt(nowMs),
			books: ledger === undefined
				? undefined
				: {
					wantedPerS: ledger.wantedPerS, usedPerS: ledger.usedPerS, level: ledger.level, spendable: ledger.spendable, scale: this.account.scale,
				},
		};
	}

	/** Returns the reports that are due. @param canSend whether a report would reach that host now; otherwise it waits */
	takeReports(canSend: (host: string) => boolean, nowMs: number): DueReport[] {
		return this.#takeReports(this.#accountants.hosts, canSend, nowMs);
	}

	/** Returns the reports that are to be sent sooner. */
	takeLowReports(canSend: (host: string) => boolean, nowMs: number): DueReport[] {
		return this.#takeReports([...this.#low], canSend, nowMs);
	}

	/** Handles what an accountant tells. */
	onNews({
		host, isReady, isReply, askedPerS, allowances,
	}: AllowanceNews, nowMs: number): void {
		const news = this.#news.get(host);
		if (news === undefined || !isReady) {
			return;
		}

		news.heardMs = nowMs;
		news.limited = new Map(allowances.filter(({fraction}) => fraction < 1).map(allowance => [allowance.budget, allowance]));
		news.replies += isReply ? 1 : 0;
		this.#fairOrder.onTotal(host, askedPerS, nowMs);
		for (const allowance of allowances) {
			this.#fairOrder.onDemand(allowance.budget, allowance.askedPerS, nowMs);
		}

		for (const allowance of isReply ? allowances : []) {
			const held = this.#shares.get(allowance.budget);
			if (held?.news === news) {
				held.share.onAllowance(allowance, this.#context, nowMs);
			}
		}
	}

	get #context() {
		return {daemonCount: this.#daemonCount, intervalMs: this.intervalMs};
	}

	#takeReports(hosts: readonly string[], canSend: (host: string) => boolean, nowMs: number): DueReport[] {
		const budgets = new Map<string, string[]>(hosts.map(host => [host, []]));
		for (const [budget, {share}] of this.#shares) {
			if (share.hasUsage) {
				budgets.get(this.#accountants.of(budget)!)?.push(budget);
			}
		}

		return [...budgets].flatMap(([to, used]) => {
			const isDue = used.length > 0 || nowMs - (this.#reportedMs.get(to) ?? Number.NEGATIVE_INFINITY) >= EMPTY_REPORT_INTERVALS * this.intervalMs;
			if (!isDue || !canSend(to)) {
				return [];
			}

			this.#low.delete(to);
			this.#reportedMs.set(to, nowMs);
			const usages = used.map(budget => ({budget, ...this.#shares.get(budget)!.share.takeUsage()}));
			return [{to, report: {host: this.#options.host, view: this.#accountants.view, usages}}];
		});
	}

	#onStale(budget: string, {share, news}: HeldShare): void {
		share.onStale(news.limited.delete(budget));
	}

	#newsOf(budget: string): AccountantNews {
		return this.#news.get(this.#accountants.of(budget) ?? '') ?? NO_NEWS;
	}

	#isFresh(news: AccountantNews, nowMs: number): boolean {
		return nowMs - news.heardMs < STALE_INTERVALS * this.intervalMs;
	}

	#shareOf(budget: string, limit: BudgetLimit, nowMs: number): HeldShare {
		return this.#shares.get(budget) ?? this.#createShare(budget, limit, nowMs);
	}

	#createShare(budget: string, limit: BudgetLimit, nowMs: number): HeldShare {
		const {random, room} = this.#options;
		const news = this.#newsOf(budget);
		// Daemons that all start at once have no more than the room together, and what a second allows.
		const chance = (limit.ratePerS + (roomOf(limit, room) / 2)) / this.#daemonCount;
		const tokens = random() < chance ? 1 : random();
		const share = new Share(limit, this.#context, {credit: random(), tokens}, nowMs);
		const isFresh = this.#isFresh(news, nowMs);
		if (isFresh) {
			const calm = {
				budget, fraction: 1, usedPerS: 0, askedPerS: 0, spendable: limit.burst + (roomOf(limit, room) / 2),
			};
			share.onAllowance(news.limited.get(budget) ?? calm, this.#context, nowMs);
		}

		const held = {share, news, filledReplies: isFresh ? news.replies - 1 : news.replies};
		this.#shares.set(budget, held);
		return held;
	}
}
