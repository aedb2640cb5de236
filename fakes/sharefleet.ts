import {
	type AllowanceNews, type BudgetLimit, type BudgetRoom, BudgetSharing, type DueReport, type UsageReport,
} from '../src/mesh/index.js';
import {Random} from './random.js';

const STEP_MS = 10;
/** One way between two daemons, in ms. */
const LINK_MS = 4;
/** The shortest time between two messages of an accountant to all daemons, in ms. */
const PUSH_INTERVAL_MS = 100;
/** How long daemons take to find that a host is out of reach, or back, in ms. */
const DETECTION_MS = 2400;

/** A daemon of the fleet; what it started with is lost when it restarts. */
export type FleetMember = {
	readonly name: string;
	readonly failureDomain: string;
	sharing: BudgetSharing;
	/** The side of a network cut that it is on. */
	side: number;
	isUp: boolean;
	nextCheckMs: number;
};

/** Requests of one organisation. */
export type FleetLoad = {
	readonly budget: string;
	readonly perS: (nowMs: number) => number;
	/** The daemon that the request goes to. */
	readonly choose: (nowMs: number, random: Random) => FleetMember;
	/** The ranks of its requests, each as often as it is named. */
	readonly ranks?: readonly number[];
};

export type ShareFleetOptions = {
	readonly seed?: number;
	readonly domainCount?: number;
	/** Returns the bytes of a message; without it they aren't counted. */
	readonly sizeOf?: (message: UsageReport | AllowanceNews) => number;
};

/** Daemons that share budgets, on a clock of their own. */
export class ShareFleet {
	nowMs = 0;
	frames = 0;
	/** What all frames took, if they are measured. */
	bytes = 0;
	/** How often an accountant has told all daemons of a limited budget. */
	pushes = 0;
	/** The reports that were sent before the end of an interval. */
	lowReports = 0;
	readonly members: FleetMember[] = [];
	readonly random: Random;
	/** When each request was admitted, by budget. */
	readonly admittedMs = new Map<string, number[]>();
	readonly refusedMs = new Map<string, number[]>();
	/** How many requests of each rank were admitted and refused. */
	readonly byRank = new Map<number, {admitted: number; refused: number}>();
	readonly #byName: ReadonlyMap<string, FleetMember>;
	readonly #room: BudgetRoom;
	#limits: ReadonlyMap<string, BudgetLimit>;
	/** The daemons that report sooner, in the next step. */
	readonly #low = new Set<string>();
	readonly #pushedMs = new Map<string, number>();
	#wasCut = false;
	/** Rises when a daemon starts or ends; the elections of each daemon follow it. */
	#hostsVersion = 0;
	readonly #electedVersions = new Map<BudgetSharing, number>();
	readonly #sizeOf: ((message: UsageReport | AllowanceNews) => number) | undefined;
	#deliveries: Array<{atMs: number; deliver: () => void}> = [];
	/** Since when a daemon can reach another, or can't, by the names of both. */
	readonly #reachableSince = new Map<string, {canReach: boolean; sinceMs: number}>();

	constructor(count: number, limits: ReadonlyMap<string, BudgetLimit>, room: BudgetRoom, {seed = 1, domainCount = 3, sizeOf}: ShareFleetOptions = {}) {
		this.#sizeOf = sizeOf;
		this.#room = room;
		this.#limits = limits;
		this.random = new Random(seed);
		for (let index = 0; index < count; index++) {
			this.members.push({
				name: `h${index}`, failureDomain: `d${index % domainCount}`, sharing: this.#createSharing(`h${index}`), side: 0, isUp: true, nextCheckMs: this.random.between(0, 250),
			});
		}

		this.#byName = new Map(this.members.map(member => [member.name, member]));
	}

	setLimits(limits: ReadonlyMap<string, BudgetLimit>): void {
		this.#limits = limits;
		for (const {sharing} of this.members) {
			sharing.setLimits(limits, this.nowMs);
		}
	}

	/** Puts daemons on a side of a network cut. */
	cut(members: readonly FleetMember[], side: number): void {
		if (!this.#wasCut) {
			this.#wasCut = true;
			for (const member of this.members) {
				for (const other of this.members) {
					this.#believesReachable(member, other);
				}
			}
		}

		for (const member of members) {
			member.side = side;
		}
	}

	/** Ends a daemon; its peers notice at once, as its connections close. */
	kill(member: FleetMember): void {
		member.isUp = false;
		this.#hostsVersion++;
	}

	restart(member: FleetMember): void {
		member.isUp = true;
		this.#hostsVersion++;
		this.#electedVersions.delete(member.sharing);
		member.sharing = this.#createSharing(member.name);
		member.nextCheckMs = this.nowMs;
	}

	run(forMs: number, loads: readonly FleetLoad[]): void {
		const endMs = this.nowMs + forMs;
		while (this.nowMs < endMs) {
			this.nowMs += STEP_MS;
			this.#deliver();
			for (const host of this.#low) {
				const member = this.#byName.get(host)!;
				const reports = member.sharing.takeLowReports(() => true, this.nowMs);
				this.lowReports += reports.length;
				this.#sendReports(member, reports);
			}

			this.#low.clear();
			for (const member of this.members) {
				if (member.isUp && member.nextCheckMs <= this.nowMs) {
					this.#check(member);
				}
			}

			for (const load of loads) {
				this.#arrive(load);
			}
		}
	}

	/** The most requests that were admitted in any window. */
	mostInWindow(budget: string, windowMs: number): number {
		const times = this.admittedMs.get(budget) ?? [];
		let most = 0;
		let first = 0;
		for (const [index, timeMs] of times.entries()) {
			while (times[first] <= timeMs - windowMs) {
				first++;
			}

			most = Math.max(most, index - first + 1);
		}

		return most;
	}

	countAdmitted(budget: string, fromMs: number, untilMs = this.nowMs): number {
		return (this.admittedMs.get(budget) ?? []).filter(timeMs => timeMs > fromMs && timeMs <= untilMs).length;
	}

	countRefused(budget: string, fromMs = 0): number {
		return (this.refusedMs.get(budget) ?? []).filter(timeMs => timeMs > fromMs).length;
	}

	/** One request of an organisation at a daemon. @returns whether it was admitted */
	request(member: FleetMember, budget: string, rank = 0): boolean {
		const {isAdmitted} = member.sharing.trySpend(budget, rank, this.nowMs);
		const times = isAdmitted ? this.admittedMs : this.refusedMs;
		times.set(budget, times.get(budget) ?? []);
		times.get(budget)!.push(this.nowMs);
		const count = this.byRank.get(rank) ?? {admitted: 0, refused: 0};
		this.byRank.set(rank, count);
		count[isAdmitted ? 'admitted' : 'refused']++;
		return isAdmitted;
	}

	#arrive({budget, perS, choose, ranks = [0]}: FleetLoad): void {
		let left = perS(this.nowMs) * STEP_MS / 1000;
		for (left -= this.random.exponential(1); left > 0; left -= this.random.exponential(1)) {
			const member = choose(this.nowMs, this.random);
			if (member.isUp) {
				this.request(member, budget, ranks.length === 1 ? ranks[0] : this.random.pick(ranks));
			}
		}
	}

	#createSharing(host: string): BudgetSharing {
		const sharing = new BudgetSharing({
			host,
			room: this.#room,
			random: () => this.random.next(),
			onLow: () => {
				this.#low.add(host);
			},
		});
		sharing.setLimits(this.#limits, this.nowMs);
		return sharing;
	}

	#check(member: FleetMember): void {
		const {sharing} = member;
		// As in a daemon, an election follows a change of the hosts.
		if (this.#wasCut || this.#electedVersions.get(sharing) !== this.#hostsVersion) {
			this.#electedVersions.set(sharing, this.#hostsVersion);
			const others = this.members.filter(other => other !== member && this.#believesReachable(member, other));
			sharing.setHosts([member, ...others].map(({name, failureDomain}) => ({host: name, failureDomain})), this.nowMs);
		}

		// A killed daemon refuses connections, so its peers know that it isn't running.
		sharing.check(this.members.filter(other => other.isUp).length, this.nowMs);
		this.#sendReports(member, sharing.takeReports(() => true, this.nowMs));
		member.nextCheckMs = this.nowMs + sharing.intervalMs;
	}

	#sendReports(member: FleetMember, reports: readonly DueReport[]): void {
		for (const {to, report} of reports) {
			this.bytes += to === member.name ? 0 : this.#sizeOf?.(report) ?? 0;
			this.#send(member, to, receiver => {
				this.#onReport(receiver, report);
			});
		}
	}

	#onReport(accountant: FleetMember, report: UsageReport): void {
		const {account} = accountant.sharing;
		account.record(report, this.nowMs);
		this.#sendNews(accountant, report.host, account.tell(report, this.nowMs));
		if (account.isPushDue && this.nowMs - (this.#pushedMs.get(accountant.name) ?? 0) >= PUSH_INTERVAL_MS) {
			account.onPush();
			this.#pushedMs.set(accountant.name, this.nowMs);
			this.pushes++;
			for (const {name} of this.members) {
				this.#sendNews(accountant, name, account.tell(undefined, this.nowMs));
			}
		}
	}

	#sendNews(from: FleetMember, to: string, news: AllowanceNews): void {
		this.bytes += to === from.name ? 0 : this.#sizeOf?.(news) ?? 0;
		this.#send(from, to, receiver => {
			receiver.sharing.onNews(news, this.nowMs);
		});
	}

	#send(from: FleetMember, to: string, deliver: (receiver: FleetMember) => void): void {
		this.frames++;
		const receiver = this.#byName.get(to)!;
		const action = () => {
			if (from.isUp && receiver.isUp && from.side === receiver.side) {
				deliver(receiver);
			}
		};

		if (from === receiver) {
			action();
		} else {
			this.#deliveries.push({atMs: this.nowMs + LINK_MS, deliver: action});
		}
	}

	#deliver(): void {
		const due = this.#deliveries;
		this.#deliveries = [];
		for (const delivery of due) {
			if (delivery.atMs <= this.nowMs) {
				delivery.deliver();
			} else {
				this.#deliveries.push(delivery);
			}
		}
	}

	#believesReachable(member: FleetMember, other: FleetMember): boolean {
		if (!other.isUp || !this.#wasCut) {
			return other.isUp;
		}

		const key = `${member.name}>${other.name}`;
		const canReach = member.side === other.side;
		const known = this.#reachableSince.get(key) ?? {canReach, sinceMs: Number.NEGATIVE_INFINITY};
		if (known.canReach !== canReach) {
			known.sinceMs = this.nowMs;
			known.canReach = canReach;
		}

		this.#reachableSince.set(key, known);
		return this.nowMs - known.sinceMs >= DETECTION_MS ? canReach : !canReach;
	}
}
