import {
	MAX_FLOOR, FloorController, type FloorReport, FloorTable, RANK_COUNT, levelOf,
} from '../core/index.js';

/** How long a root keeps its place among those of its rank, in ms: a client that returns later has a new chance. */
const EPOCH_MS = 2000;
/** How long the calls of the lowest admitted rank should wait, in ms: little against any objective, enough to keep slots busy. */
const QUEUE_TARGET_MS = 25;

/** The place of a root request among all: it is kept by all calls made for it. */
export type Priority = {
	/** Higher levels are served first. */
	readonly level: number;
	/** The floor under which the root was admitted. */
	readonly floor: number;
};

/** A route, and the one of its services that was chosen. */
export type RoutedService = {readonly route: string; readonly service: string};

/** What the owner's target has to do. */
export type TargetLoad = {
	/** How many calls run at once. */
	readonly limit: number;
	/** Work that waits at a level or above, in ms of slot time. */
	readonly queuedWorkMs: (level: number) => number;
	readonly isSaturated: boolean;
};

/**
 * Refuses roots before anything is spent, by the floors of all services that
 * requests of their route have reached, which travel up with the answers.
 * Load pattern: demand past what a deep service serves, where refusing late
 * throws away what the services above have already done.
 */
export class LoadShedder {
	readonly #host: string;
	readonly #pressure = new FloorTable();
	readonly #controller = new FloorController();
	readonly #reached = new Map<string, Set<string>>();

	constructor(host: string) {
		this.#host = host;
	}

	/** The owner's floor now. */
	get floor(): number {
		return this.#controller.floor;
	}

	/** @param rank 0 is the highest */
	priorityOf({route, service}: RoutedService, rank: number, attemptId: string, nowMs: number): Priority {
		const level = levelOf(RANK_COUNT - 1 - Math.min(RANK_COUNT - 1, Math.max(0, Math.floor(rank))), attemptId, Math.floor(nowMs / EPOCH_MS));
		return {level, floor: this.#pressure.highestFloorOf(this.reachedServices({route, service}), nowMs)};
	}

	isAdmitted({level, floor}: Priority): boolean {
		return level >= floor;
	}

	/** The services that requests have reached on a way, as far as is known here. */
	reachedServices(way: RoutedService): string[] {
		return [...(this.#reached.get(keyOf(way)) ?? [])];
	}

	/** Requests reach services on a way, themselves or by the calls made for them. */
	recordReached(way: RoutedService, services: readonly string[]): void {
		const key = keyOf(way);
		let known = this.#reached.get(key);
		if (known === undefined) {
			known = new Set();
			this.#reached.set(key, known);
		}

		for (const service of services) {
			known.add(service);
		}
	}

	/** A call has arrived at this owner that will take about `serviceMs` of a slot. */
	onArrival({level, floor}: Priority, serviceMs: number): void {
		this.#controller.onArrival(level, floor, serviceMs);
	}

	/** Sets this owner's floor anew. */
	updateFloor(service: string, workload: TargetLoad, nowMs: number): void {
		this.#controller.update(nowMs, () => ({
			serviceRate: workload.limit,
			waiting: workload.queuedWorkMs,
			queueTargetMs: QUEUE_TARGET_MS,
			saturated: workload.isSaturated,
		}));
		this.#pressure.record({
			service, upstream: this.#host, floor: Math.min(MAX_FLOOR, this.#controller.floor), ageMs: 0,
		}, nowMs);
	}

	recordFloorReports(floorReports: readonly FloorReport[], nowMs: number): void {
		for (const report of floorReports) {
			this.#pressure.record(report, nowMs);
		}
	}

	/** What to pass on to the daemons that call here. */
	reports(nowMs: number): FloorReport[] {
		return this.#pressure.reports(nowMs);
	}
}

function keyOf({route, service}: RoutedService): string {
	return `${route} ${service}`;
}
