/** Age up to which a report counts in full and is passed on, in ms. */
const FRESH_MS = 300;
/** Time in which the floor of an older report decays to about a third, in ms. */
const DECAY_MS = 250;
/** Age above which a report is removed, in ms. */
const FORGET_MS = 3000;
/** Lower floors count as zero, so that a decaying floor reaches it. */
const MIN_FLOOR = 1;
/** Shortest interval between reports to the same peer, in ms. */
const REPORT_INTERVAL_MS = 5;
/** Time for which a computed mean floor is reused, in ms. */
const CACHE_MS = 5;
/** Largest number of reports in one message, which bounds its size; with more, successive messages take turns. */
const MAX_REPORTS = 16;

/** How long after it was reported a share that isn't answered counts as news, in ms. */
const NEWS_MS = 1000;

/** The floor of an upstream, as answers and heartbeats report it. */
export type FloorReport = {
	readonly service: string;
	readonly upstream: string;
	readonly floor: number;
	/** How old the report is, in ms. */
	readonly ageMs: number;
	/** Which share of the calls that reach the upstream it answers, from 0 to 1; absent if it answers about all, or if that isn't counted. */
	readonly answeredShare?: number | undefined;
};

type FloorEntry = {floor: number; answeredShare: number; reportedMs: number};
type ServiceFloor = {readonly upstreams: Map<string, FloorEntry>; floor: number; unanswered: number; freshUntilMs: number};

/**
 * Holds the reported floors of services, by the upstream that set each. Only the
 * newest report of an upstream counts, whoever passed it on, so that reports
 * that travel in circles can't reinforce each other. The fresher a report, the
 * more it counts: of many upstreams, only a part is heard of in a while. A floor
 * that no report confirms decays, so that recovery doesn't depend on traffic
 * that is refused.
 */
export class FloorTable {
	readonly #services = new Map<string, ServiceFloor>();
	readonly #lastReportMs = new Map<string, number>();
	#nextReport = 0;
	#newsUntilMs = 0;

	record({service, upstream, floor, ageMs, answeredShare = 1}: FloorReport, nowMs: number): void {
		const reportedMs = nowMs - ageMs;
		if (answeredShare < 1) {
			this.#newsUntilMs = Math.max(this.#newsUntilMs, reportedMs + NEWS_MS);
		}

		const known = this.#services.get(service)?.upstreams.get(upstream);
		if (known !== undefined) {
			// A floor that stays at zero isn't renewed, so that its entry ages and is removed.
			if (reportedMs > known.reportedMs && (floor > 0 || known.floor > 0 || answeredShare < 1 || known.answeredShare < 1)) {
				known.floor = floor;
				known.answeredShare = answeredShare;
				known.reportedMs = reportedMs;
			}

			return;
		}

		if (floor < MIN_FLOOR && answeredShare === 1) {
			return;
		}

		const entries = this.#services.get(service) ?? {
			upstreams: new Map<string, FloorEntry>(), floor: 0, unanswered: 0, freshUntilMs: 0,
		};
		entries.upstreams.set(upstream, {floor, answeredShare, reportedMs});
		this.#services.set(service, entries);
	}

	/** Returns the floor of one service: the mean over its upstreams. */
	meanFloorOf(service: string, nowMs: number): number {
		return this.#refresh(service, nowMs)?.floor ?? 0;
	}

	/**
	 * Returns which share of the calls to a service its upstreams answer, from 0 to 1.
	 * @param upstreamCount the upstreams of the service, of which those that answer all calls don't report
	 */
	answeredShareOf(service: string, upstreamCount: number, nowMs: number): number {
		const entries = this.#refresh(service, nowMs);
		return entries === undefined ? 1 : 1 - (entries.unanswered / Math.max(1, upstreamCount, entries.upstreams.size));
	}

	/** Whether an upstream was reported lately that doesn't answer all calls. */
	hasUnanswered(nowMs: number): boolean {
		return nowMs < this.#newsUntilMs;
	}

	/** Returns the highest floor among a set of services. */
	highestFloorOf(services: readonly string[], nowMs: number): number {
		if (this.#services.size === 0) {
			return 0;
		}

		let floor = 0;
		for (const service of services) {
			floor = Math.max(floor, this.meanFloorOf(service, nowMs));
		}

		return floor;
	}

	/** Returns the reports for a peer; none if it got reports within the shortest interval. */
	reportsFor(peer: string, nowMs: number): readonly FloorReport[] {
		if (this.#services.size === 0 || nowMs - (this.#lastReportMs.get(peer) ?? 0) < REPORT_INTERVAL_MS) {
			return NO_REPORTS;
		}

		this.#lastReportMs.set(peer, nowMs);
		return this.reports(nowMs);
	}

	/**
	 * Returns the reports that still count in full, as many as fit into one message.
	 * @param first an upstream whose report is always included
	 */
	reports(nowMs: number, first?: string): FloorReport[] {
		const fresh: FloorReport[] = [];
		for (const [service, {upstreams}] of this.#services) {
			for (const [upstream, {floor, answeredShare, reportedMs}] of upstreams) {
				const ageMs = nowMs - reportedMs;
				if (ageMs < FRESH_MS) {
					const report = {
						service, upstream, floor, ageMs,
					};
					fresh.push(answeredShare < 1 ? {...report, answeredShare} : report);
				}
			}
		}

		if (fresh.length <= MAX_REPORTS) {
			return fresh;
		}

		const reports = fresh.filter(({upstream}) => upstream === first);
		for (let turn = 0; turn < fresh.length && reports.length < MAX_REPORTS; turn++) {
			const report = fresh[this.#nextReport++ % fresh.length];
			if (report.upstream !== first) {
				reports.push(report);
			}
		}

		return reports;
	}

	#refresh(service: string, nowMs: number): ServiceFloor | undefined {
		const entries = this.#services.get(service);
		if (entries !== undefined && nowMs >= entries.freshUntilMs) {
			entries.floor = this.#computeMean(service, entries, nowMs);
			entries.freshUntilMs = nowMs + CACHE_MS;
		}

		return entries;
	}

	#computeMean(service: string, entries: ServiceFloor, nowMs: number): number {
		const {upstreams} = entries;
		entries.unanswered = 0;
		let sum = 0;
		let weightSum = 0;
		let highestWeight = 0;
		for (const [upstream, {floor, answeredShare, reportedMs}] of upstreams) {
			const ageMs = nowMs - reportedMs;
			if (ageMs > FORGET_MS) {
				upstreams.delete(upstream);
				continue;
			}

			const freshness = ageMs < FRESH_MS ? 1 : Math.exp((FRESH_MS - ageMs) / DECAY_MS);
			// A floor of zero is reported only once, and so counts until it is removed.
			const weight = floor > 0 ? freshness : 1;
			entries.unanswered += (1 - answeredShare) * freshness;
			sum += floor * weight;
			weightSum += weight;
			highestWeight = Math.max(highestWeight, freshness);
		}

		if (upstreams.size === 0) {
			this.#services.delete(service);
			return 0;
		}

		const mean = sum / weightSum * highestWeight;
		return mean < MIN_FLOOR ? 0 : mean;
	}
}

const NO_REPORTS: readonly FloorReport[] = [];
