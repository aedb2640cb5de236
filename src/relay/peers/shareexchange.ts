import {type Clock} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {
	type BudgetChange, type BudgetLimit, type BudgetSharing, type DueReport, type HostEntry, type HostTable,
} from '../../mesh/index.js';
import {type Frame, type FrameChannel, FrameTag} from './frame.js';
import {
	buildAllowanceFrame, buildUsageFrame, readAllowances, readUsage,
} from './shareframe.js';

/** The random part of the time between two reports: accountants would otherwise get the reports of daemons that started together at the same time. */
const INTERVAL_JITTER = 0.2;
/** How long what is low waits for more to report, in ms. */
const LOW_REPORT_DELAY_MS = 10;
/** The shortest time between two messages to all daemons, in ms. */
const MIN_PUSH_INTERVAL_MS = 100;

/** The links to other daemons, as far as the exchange needs them. */
export abstract class ShareLinks {
	abstract linkTo(entry: HostEntry): FrameChannel & {readonly isOpen: boolean};
	/** Watches the links to these hosts also while they carry no calls. */
	abstract watch(hosts: ReadonlySet<string>): void;
	abstract isUnreachable(host: string): boolean;
	/** Whether the host is known to run no daemon at present. */
	abstract isGone(host: string): boolean;
}

export type ShareExchangeParts = {
	readonly host: string;
	readonly failureDomain: string;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly hosts: HostTable;
	readonly sharing: BudgetSharing;
	readonly random: () => number;
	readonly links: () => ShareLinks;
};

/** Exchanges with the accountants what this daemon spends of shared budgets. Without a limited budget it sends nothing and has no timer. */
export class ShareExchange {
	readonly #parts: ShareExchangeParts;
	/** How each daemon that reports to this one is reached. */
	readonly #channels = new Map<string, FrameChannel>();
	#timer: NodeJS.Timeout | undefined;
	#pushTimer: NodeJS.Timeout | undefined;
	#lowTimer: NodeJS.Timeout | undefined;
	#areHostsStale = true;
	#isClosed = false;

	constructor(parts: ShareExchangeParts) {
		this.#parts = parts;
	}

	/** Puts the limits of a configuration in force. */
	setLimits(limits: ReadonlyMap<string, BudgetLimit>): void {
		const {sharing, clock} = this.#parts;
		if (this.#isClosed || (!sharing.isActive && limits.size === 0)) {
			return;
		}

		sharing.setLimits(limits, clock.nowMs());
		if (!sharing.isActive) {
			clearTimeout(this.#timer);
			this.#timer = undefined;
			this.#parts.links().watch(new Set());
		} else if (this.#timer === undefined) {
			this.#check();
		}
	}

	/** Has the accountants elected anew, because a host has come or gone. */
	onHostsChanged(): void {
		this.#areHostsStale = true;
	}

	/** Reports soon what is low, instead of at the end of the interval. */
	onLow(): void {
		if (this.#lowTimer === undefined && !this.#isClosed) {
			const {sharing, clock} = this.#parts;
			this.#lowTimer = setTimeout(() => {
				this.#lowTimer = undefined;
				this.#send(sharing.takeLowReports(host => this.#canSend(host), clock.nowMs()));
			}, LOW_REPORT_DELAY_MS);
		}
	}

	/** Handles a frame of the exchange. @returns whether it is one */
	handleFrame(frame: Frame, channel: FrameChannel): boolean {
		const {sharing, clock} = this.#parts;
		switch (frame[0]) {
			case FrameTag.usage: {
				const report = readUsage(frame);
				const nowMs = clock.nowMs();
				this.#channels.set(report.host, channel);
				this.#logChanges(sharing.account.record(report, nowMs));
				channel.send(buildAllowanceFrame(sharing.account.tell(report, nowMs)));
				this.#schedulePush();
				return true;
			}

			case FrameTag.allowances: {
				sharing.onNews(readAllowances(frame), clock.nowMs());
				return true;
			}

			default: {
				return false;
			}
		}
	}

	/** Forgets a link that has closed. */
	removeChannel(channel: FrameChannel): void {
		for (const [host, known] of this.#channels) {
			if (known === channel) {
				this.#channels.delete(host);
			}
		}
	}

	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#timer);
		clearTimeout(this.#pushTimer);
		clearTimeout(this.#lowTimer);
	}

	#check(): void {
		const {host: ownHost, clock, hosts, sharing, random, links} = this.#parts;
		// First, so that an error in one check doesn't end all.
		this.#timer = setTimeout(() => {
			this.#check();
		}, sharing.intervalMs * (1 + (INTERVAL_JITTER * (random() - 0.5))));
		const nowMs = clock.nowMs();
		const others = hosts.entries.filter(({host}) => host !== ownHost);
		if (this.#areHostsStale) {
			this.#areHostsStale = false;
			this.#elect(others.filter(({host}) => !links().isUnreachable(host)));
		}

		this.#logChanges(sharing.check(1 + others.filter(({host}) => !links().isGone(host)).length, nowMs));
		this.#send(sharing.takeReports(host => this.#canSend(host), nowMs));
		this.#dialUnheard(others);
	}

	#send(reports: readonly DueReport[]): void {
		const {host, clock, hosts, sharing, links} = this.#parts;
		for (const {to, report} of reports) {
			if (to === host) {
				const nowMs = clock.nowMs();
				this.#logChanges(sharing.account.record(report, nowMs));
				sharing.onNews(sharing.account.tell(report, nowMs), nowMs);
				this.#schedulePush();
			} else {
				links().linkTo(hosts.get(to)!).send(buildUsageFrame(report));
			}
		}
	}

	#elect(others: readonly HostEntry[]): void {
		const {host, failureDomain, clock, log, sharing, links} = this.#parts;
		if (sharing.setHosts([{host, failureDomain}, ...others], clock.nowMs())) {
			const {hosts} = sharing.accountants;
			links().watch(new Set(hosts.filter(name => name !== host)));
			log.event('accountants_changed', {accountants: hosts.join(' '), isElected: hosts.includes(host)});
		}
	}

	#canSend(host: string): boolean {
		const {host: ownHost, hosts, links} = this.#parts;
		const entry = hosts.get(host);
		return host === ownHost || (entry !== undefined && links().linkTo(entry).isOpen);
	}

	// A host that isn't heard of may be cut off and spend on; one that refuses connections doesn't.
	#dialUnheard(others: readonly HostEntry[]): void {
		const {sharing, links} = this.#parts;
		if (!sharing.account.isListening) {
			return;
		}

		for (const entry of others) {
			if (!sharing.account.hears(entry.host) && !links().isUnreachable(entry.host) && !links().isGone(entry.host)) {
				links().linkTo(entry);
			}
		}
	}

	#schedulePush(): void {
		if (this.#parts.sharing.account.isPushDue && this.#pushTimer === undefined && !this.#isClosed) {
			this.#push();
			this.#pushTimer = setTimeout(() => {
				this.#pushTimer = undefined;
				this.#schedulePush();
			}, MIN_PUSH_INTERVAL_MS);
		}
	}

	#push(): void {
		const {sharing, clock} = this.#parts;
		const nowMs = clock.nowMs();
		sharing.account.onPush();
		const news = sharing.account.tell(undefined, nowMs);
		sharing.onNews(news, nowMs);
		const frame = buildAllowanceFrame(news);
		for (const [host, channel] of this.#channels) {
			if (sharing.account.hears(host)) {
				channel.send(frame);
			} else {
				this.#channels.delete(host);
			}
		}
	}

	#logChanges(changes: readonly BudgetChange[]): void {
		for (const {budget, isLimited, fraction, wantedPerS} of changes) {
			this.#parts.log.event(isLimited ? 'quota_limited' : 'quota_calm', {organisation: budget, fraction: fraction.toFixed(3), wantedPerS: wantedPerS.toFixed(1)});
		}
	}
}
