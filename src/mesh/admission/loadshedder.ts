import {
	LEVELS_PER_RANK, MAX_FLOOR, FloorController, type FloorReport, FloorTable, RANK_COUNT, levelOf, rankOf,
} from '../../core/index.js';
import {AnsweredShare} from './answeredshare.js';
import {CallCounts} from './callcounts.js';
import {QueueTarget} from './queuetarget.js';

/** How long an attempt keeps its level within its rank, in ms: one that is sent again later gets another level, and with it another chance. */
const LEVEL_EPOCH_MS = 2000;
/** Share of answered calls from which on a target counts as one that answers all: single failures are no news. */
const SOUND_SHARE = 0.9;

/** Priority of a root request; all calls made for it inherit it. */
export type Priority = {
	/** Fine-grained priority, made of the rank and a position within it; higher levels are served first. */
	readonly level: number;
	/** Admission floor at the time that the root request arrived. */
	readonly floor: number;
};

/** A route and the service that the traffic split chose for a request. */
export type RoutedService = {readonly route: string; readonly service: string};

/** What a root request asks for, and for which organisation, if it is known. */
export type RootRequest = RoutedService & {readonly organisation?: string | undefined};

/** Returns the place of an organisation's request among all of its rank, from 0 to 1; by itself it would have the place `chance`. */
export type FairPlace = (organisation: string, chance: number, nowMs: number) => number;

/** How a run ended: `failed-below` if it was a nested call that failed, `lost` if that says nothing of the target. */
export type RunOutcome = 'answered' | 'failed-below' | 'failed' | 'turned-away' | 'lost';

/** The load of the owner's target. */
export type TargetLoad = {
	/** Concurrency limit. */
	readonly limit: number;
	/** Expected slot time of all waiting calls of at least this level, in ms. */
	readonly queuedWorkMs: (level: number) => number;
	readonly isSaturated: boolean;
};

/**
 * Sheds root requests before any work is done for them: those with a level
 * below the floor of any service that requests of their route have reached.
 * Daemons pass the floors and the reached services back to their callers with the answers.
 * Handles the load pattern in which demand exceeds the capacity of a service
 * deep in the call tree, where a late refusal wastes the work already done by
 * the services above it.
 */
export class LoadShedder {
	readonly #host: string;
	readonly #floors = new FloorTable();
	readonly #controller = new FloorController();
	readonly #queueTarget = new QueueTarget();
	readonly #reached = new Map<string, Set<string>>();
	readonly #fairPlace: FairPlace;
	readonly #outcomes: {readonly answered: AnsweredShare; readonly callCounts: CallCounts} | undefined;

	/** @param countsOutcomes whether it learns and reports what share of the calls is answered, and how many calls a request needs */
	constructor(host: string, countsOutcomes = false, fairPlace: FairPlace = (_organisation, chance) => chance) {
		this.#host = host;
		this.#fairPlace = fairPlace;
		this.#outcomes = countsOutcomes ? {answered: new AnsweredShare(), callCounts: new CallCounts()} : undefined;
	}

	/** The current floor of the local target. */
	get floor(): number {
		return this.#controller.floor;
	}

	/** @param rank 0 is the highest */
	priorityOf({route, service, organisation}: RootRequest, rank: number, attemptId: string, nowMs: number): Priority {
		let level = levelOf(RANK_COUNT - 1 - Math.min(RANK_COUNT - 1, Math.max(0, Math.floor(rank))), attemptId, Math.floor(nowMs / LEVEL_EPOCH_MS));
		if (organisation !== undefined) {
			const place = level % LEVELS_PER_RANK;
			const fairPlace = Math.floor(this.#fairPlace(organisation, place / LEVELS_PER_RANK, nowMs) * LEVELS_PER_RANK);
			level += Math.min(LEVELS_PER_RANK - 1, Math.max(0, fairPlace)) - place;
		}

		return {level, floor: this.#floors.highestFloorOf(this.reachedServices({route, service}), nowMs)};
	}

	isAdmitted({level, floor}: Priority): boolean {
		return level >= floor;
	}

	/** The services that requests of the route have reached by way of the service, as far as is known here; each as often as it is called, if that is counted. */
	reachedServices(routedService: RoutedService): string[] {
		const key = keyOf(routedService);
		const services = [...(this.#reached.get(key) ?? [])];
		const callCounts = this.#outcomes?.callCounts;
		return callCounts === undefined ? services : services.flatMap(service => Array.from<string>({length: callCounts.countOf(key, service)}).fill(service));
	}

	/**
	 * The chance that a request ends well if it starts now, from 0 to 1, by the calls that it needs.
	 * @param upstreamCountOf returns how many upstreams a service has
	 */
	chanceOf(routedService: RoutedService, upstreamCountOf: (service: string) => number, nowMs: number): number {
		const key = keyOf(routedService);
		let chance = 1;
		for (const service of this.#reached.get(key) ?? []) {
			const share = this.#floors.answeredShareOf(service, upstreamCountOf(service), nowMs);
			chance *= share === 1 ? 1 : share ** (this.#outcomes?.callCounts.countOf(key, service) ?? 1);
		}

		return chance;
	}

	/** Records that a run makes a nested call, which reaches these services. */
	onNestedCall(runId: string, routedService: RoutedService, services: readonly string[]): void {
		this.#addReached(keyOf(routedService), services);
		this.#outcomes?.callCounts.onNestedCall(runId, services);
	}

	/** Records how a run at the local target ended. */
	onRunEnded(runId: string, routedService: RoutedService, outcome: RunOutcome, nowMs: number): void {
		if (outcome === 'answered' || outcome === 'failed' || outcome === 'turned-away') {
			this.#outcomes?.answered.record(outcome === 'answered', nowMs);
		}

		this.#outcomes?.callCounts.onRunEnded(runId, outcome === 'answered' ? keyOf(routedService) : undefined);
	}

	/** Records the services that requests reached, directly or through the calls made for them. */
	recordReached(routedService: RoutedService, services: readonly string[]): void {
		const key = keyOf(routedService);
		this.#addReached(key, services);
		this.#outcomes?.callCounts.record(key, services);
	}

	/** Counts a call that arrived at this owner, is expected to hold a slot for `serviceMs` and must be answered within `leftMs`. */
	onArrival({level, floor}: Priority, serviceMs: number, leftMs: number): void {
		this.#controller.onArrival(level, floor, serviceMs);
		this.#queueTarget.record(rankOf(level), leftMs - serviceMs);
	}

	/** Recomputes the floor of the local target and records it for reports to callers. */
	updateFloor(service: string, load: TargetLoad, nowMs: number): void {
		this.#controller.update(nowMs, () => ({
			serviceRate: load.limit,
			queuedWork: load.queuedWorkMs,
			queueTargetMs: rank => this.#queueTarget.at(rank),
			isSaturated: load.isSaturated,
		}));
		const answeredShare = this.#outcomes?.answered.at(nowMs) ?? 1;
		this.#floors.record({
			service, upstream: this.#host, floor: Math.min(MAX_FLOOR, this.#controller.floor), ageMs: 0, answeredShare: answeredShare < SOUND_SHARE ? answeredShare : undefined,
		}, nowMs);
	}

	recordFloorReports(floorReports: readonly FloorReport[], nowMs: number): void {
		for (const report of floorReports) {
			this.#floors.record(report, nowMs);
		}
	}

	/** Whether targets that turn calls away were heard of lately, which all daemons should hear of, also those that start no requests for it. */
	hasUnanswered(nowMs: number): boolean {
		return this.#outcomes !== undefined && this.#floors.hasUnanswered(nowMs);
	}

	/** The fresh floor reports, to be passed on to the daemons that call here. */
	reports(nowMs: number): FloorReport[] {
		return this.#floors.reports(nowMs, this.#host);
	}

	#addReached(key: string, services: readonly string[]): void {
		let known = this.#reached.get(key);
		if (known === undefined) {
			known = new Set();
			this.#reached.set(key, known);
		}

		for (const service of services) {
			known.add(service);
		}
	}
}

function keyOf({route, service}: RoutedService): string {
	return `${route} ${service}`;
}
