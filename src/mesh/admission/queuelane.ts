import {DrainRate} from './drainrate.js';
import {DueOrder, type DueItem} from './dueorder.js';
import {FairShares} from './fairshares.js';

/** A waiting call, with what the objects that the queue asks have to know of it. */
export type WaitingItem<Call> = DueItem & {
	readonly call: Call;
	readonly lane: QueueLane<Call>;
	readonly organisation: string;
	readonly bytes: number;
};

/** The organisation of calls that belong to none. */
const NO_ORGANISATION = '';
/** Share of the rate of a lane that its calls are promised: runs vary, and calls of higher lanes come later. */
const PROMISED_SHARE = 0.9;
/** The least part of the slots that a lane is reckoned with. */
const MIN_PART = 0.01;

/** The waiting calls of one rank, either the nested or the new ones: by organisation, and then by due time. */
export class QueueLane<Call> {
	readonly index: number;
	readonly #weightOf: (organisation: string) => number;
	readonly #orders = new Map<string, DueOrder<WaitingItem<Call>>>();
	/** Undefined while no waiting call belongs to an organisation. */
	#shares: FairShares | undefined;
	/** Undefined while no call waits. */
	#drainRate: DrainRate | undefined;
	#size = 0;
	#workMs = 0;
	#bytes = 0;

	constructor(index: number, weightOf: (organisation: string) => number) {
		this.index = index;
		this.#weightOf = weightOf;
	}

	get size(): number {
		return this.#size;
	}

	/** The expected slot time of the waiting calls, in ms. */
	get workMs(): number {
		return this.#workMs;
	}

	/** The bytes of the waiting calls' bodies. */
	get bytes(): number {
		return this.#bytes;
	}

	add(item: WaitingItem<Call>, nowMs: number): void {
		const {organisation, serviceMs, bytes} = item;
		this.#size++;
		this.#workMs += serviceMs;
		this.#bytes += bytes;
		this.#drainRate ??= new DrainRate(nowMs);
		if (this.#shares === undefined && organisation !== NO_ORGANISATION) {
			this.#shares = new FairShares(this.#weightOf, nowMs);
			for (const other of this.#orders.get(NO_ORGANISATION)?.items() ?? []) {
				this.#shares.add(NO_ORGANISATION, other.serviceMs);
			}
		}

		this.#shares?.add(organisation, serviceMs);
		let order = this.#orders.get(organisation);
		if (order === undefined) {
			order = new DueOrder();
			this.#orders.set(organisation, order);
		}

		order.add(item);
	}

	/** The call that goes next. @param slots how many slots serve this lane */
	next(nowMs: number, slots: number): WaitingItem<Call> | undefined {
		const organisation = this.#shares?.next() ?? NO_ORGANISATION;
		return this.#orders.get(organisation)?.next(nowMs, this.#rateOf(organisation, slots));
	}

	/** Removes a waiting call, which gets a slot now. */
	serve(item: WaitingItem<Call>, nowMs: number): void {
		this.#drainRate!.add(item.serviceMs, nowMs);
		this.#shares?.serve(item.organisation, item.serviceMs, nowMs);
		this.#remove(item);
	}

	/** Removes a waiting call, which gets no slot. */
	remove(item: WaitingItem<Call>): void {
		this.#shares?.remove(item.organisation, item.serviceMs);
		this.#remove(item);
	}

	/** The call that gives way first: of the organisation furthest over its share, the one whose caller has the most time to come back. */
	get leastOwed(): WaitingItem<Call> | undefined {
		return this.#orders.get(this.#shares?.furthestOver() ?? NO_ORGANISATION)?.mostPatient;
	}

	/** The call that gives way to one of another organisation, which is less over its share even then; undefined if there is none. */
	findOverShare(organisation: string, serviceMs: number): WaitingItem<Call> | undefined {
		const furthest = this.#shares?.furthestOver();
		if (this.#shares === undefined || furthest === undefined || furthest === organisation) {
			return undefined;
		}

		return this.#shares.overMs(furthest) > this.#shares.overMs(organisation, serviceMs) ? this.#orders.get(furthest)!.mostPatient : undefined;
	}

	/**
	 * Whether a call can wait here so that it is answered before its deadline, and so are all calls of its organisation that wait already.
	 * @param aboveMs the expected wait for what is served before this lane, in ms @param slots how many slots serve this lane
	 */
	hasRoomFor({organisation, serviceMs, lastStartMs}: WaitingItem<Call>, aboveMs: number, nowMs: number, slots: number): boolean {
		const perMs = this.#rateOf(organisation, slots) * PROMISED_SHARE;
		const startMs = nowMs + aboveMs + ((this.#shares?.debtMs(organisation) ?? 0) / perMs);
		const order = this.#orders.get(organisation);
		const beforeMs = order?.workBeforeMs(lastStartMs, nowMs) ?? 0;
		return startMs + (beforeMs / perMs) <= lastStartMs && (order?.hasRoomFor({lastStartMs, serviceMs}, {perMs, startMs}, nowMs) ?? true);
	}

	#remove(item: WaitingItem<Call>): void {
		const {organisation, serviceMs, bytes} = item;
		this.#size--;
		this.#workMs -= serviceMs;
		this.#bytes -= bytes;
		const order = this.#orders.get(organisation)!;
		order.remove(item);
		if (order.size === 0) {
			this.#orders.delete(organisation);
		}

		if (this.#size === 0) {
			this.#workMs = 0;
			this.#shares = undefined;
			this.#drainRate = undefined;
		}
	}

	/** The slot time that the waiting calls of an organisation are given in a ms. */
	#rateOf(organisation: string, slots: number): number {
		return this.#shares?.rateOf(organisation, slots) ?? Math.min(slots, Math.max(slots * MIN_PART, this.#drainRate?.perMs ?? slots));
	}
}
