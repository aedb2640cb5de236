import {LEVELS_PER_RANK, admittedShareOf, rankOf} from '../../core/index.js';

/** Time constant of what an organisation asks for, in ms: long enough to see some requests of each, short compared with a surge. */
const DEMAND_MS = 3000;
/** How long the parts of the organisations are reused, in ms. */
const PARTS_MS = 50;
/** An organisation that asks for less is forgotten, in requests. */
const MIN_DEMAND = 0.01;

type Demand = {weight: number; requests: number; countedMs: number};
/** The requests of one rank that a floor of one service sheds. */
type Group = {readonly demands: Map<string, Demand>; overWeight: number; partsMs: number};

/**
 * Places the requests of organisations within their rank so that a floor sheds
 * those of the organisations that ask for most of what they are entitled to,
 * and as many in all as before: a level that lies at random within the rank would shed the same part of each.
 * Handles the load pattern in which one organisation sends many times its share,
 * and the floor that this calls for would refuse the others' requests, too.
 */
export class FairLevels {
	readonly #weightOf: (organisation: string) => number;
	readonly #groups = new Map<string, Group>();

	/** @param weightOf what an organisation is entitled to, in relation to the others */
	constructor(weightOf: (organisation: string) => number) {
		this.#weightOf = weightOf;
	}

	/**
	 * Counts a request, and places it.
	 * @param level its level, at random within its rank
	 * @param service the service that has set the floor
	 */
	place(level: number, floor: number, {organisation, service}: {readonly organisation: string; readonly service: string}, nowMs: number): number {
		const rank = rankOf(level);
		const share = admittedShareOf(rank, floor);
		if (share === 0 || share === 1) {
			return level;
		}

		const group = this.#groupOf(`${rank} ${service}`);
		const demand = this.#count(group, organisation, nowMs);
		if (nowMs - group.partsMs >= PARTS_MS) {
			group.partsMs = nowMs;
			group.overWeight = computeOverWeight(group.demands, share, nowMs);
		}

		return moveLevel(level, floor, Math.min(1, group.overWeight * demand.weight / demand.requests));
	}

	#groupOf(key: string): Group {
		let group = this.#groups.get(key);
		if (group === undefined) {
			group = {demands: new Map(), overWeight: Number.POSITIVE_INFINITY, partsMs: Number.NEGATIVE_INFINITY};
			this.#groups.set(key, group);
		}

		return group;
	}

	#count({demands}: Group, organisation: string, nowMs: number): Demand {
		let demand = demands.get(organisation);
		if (demand === undefined) {
			demand = {weight: 0, requests: 0, countedMs: nowMs};
			demands.set(organisation, demand);
		}

		decay(demand, nowMs);
		demand.weight = Math.max(Number.MIN_VALUE, this.#weightOf(organisation));
		demand.requests++;
		return demand;
	}
}

function decay(demand: Demand, nowMs: number): void {
	demand.requests *= Math.exp((demand.countedMs - nowMs) / DEMAND_MS);
	demand.countedMs = nowMs;
}

/** Returns how many requests are admitted, by weight, of the organisations that ask for more than that, so that of all together the share is. */
function computeOverWeight(demands: Map<string, Demand>, share: number, nowMs: number): number {
	let left = 0;
	let weightLeft = 0;
	for (const [organisation, demand] of demands) {
		decay(demand, nowMs);
		if (demand.requests < MIN_DEMAND) {
			demands.delete(organisation);
			continue;
		}

		left += demand.requests * share;
		weightLeft += demand.weight;
	}

	for (const {requests, weight} of [...demands.values()].toSorted((a, b) => (a.requests / a.weight) - (b.requests / b.weight))) {
		if (requests * weightLeft > left * weight) {
			return left / weightLeft;
		}

		left -= requests;
		weightLeft -= weight;
	}

	return Number.POSITIVE_INFINITY;
}

/** Moves a level within its rank, in order, so that the floor admits this part of those like it. */
function moveLevel(level: number, floor: number, part: number): number {
	const lowest = rankOf(level) * LEVELS_PER_RANK;
	const offset = level - lowest;
	const below = floor - lowest;
	const refused = (1 - part) * LEVELS_PER_RANK;
	if (offset >= refused) {
		const moved = below + ((offset - refused) / (LEVELS_PER_RANK - refused) * (LEVELS_PER_RANK - below));
		return lowest + Math.min(LEVELS_PER_RANK - 1, Math.ceil(moved));
	}

	return lowest + Math.min(Math.ceil(below) - 1, Math.floor(offset / refused * below));
}
