/** Age up to which a report counts in full, in ms. */
const FRESH_MS = 300;
/** Time in which an unconfirmed floor falls to a third, in ms. */
const DECAY_MS = 250;
const FORGET_MS = 3000;
const MIN_FLOOR = 1;
/** How often the same peer is told, in ms. */
const TELL_MS = 5;
const CACHE_MS = 5;
/** Reports in one message; bounds its size. */
const MAX_REPORTS = 64;

/** An upstream's floor as it travels with answers. */
export type FloorReport = {
	readonly service: string;
	readonly upstream: string;
	readonly floor: number;
	/** How old the report is, in ms. */
	readonly ageMs: number;
};

type Entry = {floor: number; stampMs: number};
type ServiceEntries = {readonly upstreams: Map<string, Entry>; floor: number; freshUntilMs: number};

/**
 * What is known of the floors of services below, by the upstream that set each.
 * Only the newest word of an upstream counts, whoever passed it on, so that
 * reports that go round can't feed on each other. An entry that isn't confirmed
 * decays, so that recovery doesn't wait on traffic that is being refused.
 */
export class FloorTable {
	readonly #services = new Map<string, ServiceEntries>();
	readonly #toldMs = new Map<string, number>();

	record({service, upstream, floor, ageMs}: FloorReport, nowMs: number): void {
		const stampMs = nowMs - ageMs;
		const held = this.#services.get(service)?.upstreams.get(upstream);
		if (held !== undefined) {
			// A floor that stays at zero is no news and may be forgotten.
			if (stampMs > held.stampMs && (floor > 0 || held.floor > 0)) {
				held.floor = floor;
				held.stampMs = stampMs;
			}

			return;
		}

		if (floor < MIN_FLOOR) {
			return;
		}

		const entries = this.#services.get(service) ?? {upstreams: new Map<string, Entry>(), floor: 0, freshUntilMs: 0};
		entries.upstreams.set(upstream, {floor, stampMs});
		this.#services.set(service, entries);
	}

	/** The floor of one service: the mean over its upstreams. */
	floor(service: string, nowMs: number): number {
		const entries = this.#services.get(service);
		if (entries === undefined) {
			return 0;
		}

		if (nowMs >= entries.freshUntilMs) {
			entries.floor = this.#mean(service, entries.upstreams, nowMs);
			entries.freshUntilMs = nowMs + CACHE_MS;
		}

		return entries.floor;
	}

	/** The highest floor over a set of services. */
	highestFloorOf(services: readonly string[], nowMs: number): number {
		if (this.#services.size === 0) {
			return 0;
		}

		let floor = 0;
		for (const service of services) {
			floor = Math.max(floor, this.floor(service, nowMs));
		}

		return floor;
	}

	/** What to tell a peer now; nothing if it was told just before. */
	reportsFor(peer: string, nowMs: number): readonly FloorReport[] {
		if (this.#services.size === 0 || nowMs - (this.#toldMs.get(peer) ?? 0) < TELL_MS) {
			return NO_REPORTS;
		}

		this.#toldMs.set(peer, nowMs);
		return this.reports(nowMs);
	}

	/** Every report that is fresh. */
	reports(nowMs: number): FloorReport[] {
		const reports: FloorReport[] = [];
		for (const [service, {upstreams}] of this.#services) {
			for (const [upstream, {floor, stampMs}] of upstreams) {
				const ageMs = nowMs - stampMs;
				if (ageMs < FRESH_MS && reports.length < MAX_REPORTS) {
					reports.push({
						service, upstream, floor, ageMs,
					});
				}
			}
		}

		return reports;
	}

	#mean(service: string, upstreams: Map<string, Entry>, nowMs: number): number {
		let sum = 0;
		for (const [upstream, {floor, stampMs}] of upstreams) {
			const ageMs = nowMs - stampMs;
			if (ageMs > FORGET_MS) {
				upstreams.delete(upstream);
			} else {
				sum += ageMs < FRESH_MS ? floor : floor * Math.exp((FRESH_MS - ageMs) / DECAY_MS);
			}
		}

		if (upstreams.size === 0) {
			this.#services.delete(service);
			return 0;
		}

		const mean = sum / upstreams.size;
		return mean < MIN_FLOOR ? 0 : mean;
	}
}

const NO_REPORTS: readonly FloorReport[] = [];
