import {DrainRate} from './drainrate.js';
import {DueOrder, type DueItem} from './dueorder.js';
import {FairShares} from './fairshares.js';
import {WorkByDue} from './workbydue.js';

/** A waiting call, with what the objects that the queue asks have to know of it. */
export type WaitingItem<Call> = DueItem & {
	readonly call: Call;
	readonly lane: QueueLane<Call>;
	readonly organisation: string;
	readonly bytes: number;
	/** Bucket of its due time. */
	readonly bucket: number;
	readonly lastStartMs: number;
	/** When the queue has to look at the call again, in ms. */
	checkMs: number;
};

/** The organisation of calls that belong to none. */
const NO_ORGANISATION = '';
/** The least part of the slots that a lane is reckoned with. */
const MIN_PART = 0.01;

/** The waiting calls of one rank, either the nested or the new ones: by organisation, and then by due time. */
export class QueueLane<Call> {
	readonly index: number;
	readonly #weightOf: (organisation: string) => number;
	readonly #orders = new Map<string, DueOrder<WaitingItem<Call>>>();
	readonly #workByDue = new WorkByDue();
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

	/** The bucket for a due time, from which `workAheadMs` reckons. */
	bucketOf(dueMs: number, nowMs: number): number {
		return this.#workByDue.bucketOf(dueMs, nowMs);
	}

	add(item: WaitingItem<Call>, nowMs: number): void {
		const {organisation, serviceMs, bytes, bucket} = item;
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

		order.add(item, nowMs);
		this.#workByDue.add(bucket, item.isLate ? 0 : serviceMs);
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

	/** Moves a call that can no longer be in time. */
	markLate(item: WaitingItem<Call>): void {
		if (!item.isLate) {
			this.#workByDue.add(item.bucket, -item.serviceMs);
			this.#orders.get(item.organisation)!.markLate(item);
		}
	}

	/** The call that gives way first: of the organisation furthest over its share, the one that is due last. */
	get leastOwed(): WaitingItem<Call> | undefined {
		return this.#orders.get(this.#shares?.furthestOver() ?? NO_ORGANISATION)?.lastDue;
	}

	/** The call that gives way to one of another organisation, which is less over its share even then; undefined if there is none. */
	findOverShare(organisation: string, serviceMs: number): WaitingItem<Call> | undefined {
		const furthest = this.#shares?.furthestOver();
		if (this.#shares === undefined || furthest === undefined || furthest === organisation) {
			return undefined;
		}

		return this.#shares.overMs(furthest) > this.#shares.overMs(organisation, serviceMs) ? this.#orders.get(furthest)!.lastDue : undefined;
	}

	/** The expected wait for those calls of this lane that go before one of an organisation that is due in a bucket, in ms. */
	waitMs({organisation, bucket}: {readonly organisation: string; readonly bucket: number}, nowMs: number, slots: number): number {
		const dueBeforeMs = Math.min(this.#workMs, this.#workByDue.sumUntil(bucket, nowMs));
		if (this.#shares === undefined || this.#workMs === 0) {
			return dueBeforeMs / this.#rateOf(organisation, slots);
		}

		// Its own calls are taken to be due like those of the whole lane.
		const ownMs = this.#shares.workOfMs(organisation) * dueBeforeMs / this.#workMs;
		return (this.#shares.debtMs(organisation) + ownMs) / this.#rateOf(organisation, slots);
	}

	/** Whether not all calls of the organisation that can still be in time will be. */
	isOverloaded(organisation: string, nowMs: number, slots: number): boolean {
		return this.#orders.get(organisation)?.isOverloaded(nowMs, this.#rateOf(organisation, slots)) ?? false;
	}

	#remove(item: WaitingItem<Call>): void {
		const {organisation, serviceMs, bytes, bucket} = item;
		this.#size--;
		this.#workMs -= serviceMs;
		this.#bytes -= bytes;
		this.#workByDue.add(bucket, item.isLate ? 0 : -serviceMs);
		const order = this.#orders.get(organisation)!;
		order.remove(item);
		if (order.size === 0) {
			this.#orders.delete(organisation);
		}

		if (this.#size === 0) {
			this.#workMs = 0;
			this.#workByDue.clear();
			this.#shares = undefined;
			this.#drainRate = undefined;
		}
	}

	/** The slot time that the waiting calls of an organisation are given in a ms. */
	#rateOf(organisation: string, slots: number): number {
		return this.#shares?.rateOf(organisation, slots) ?? Math.min(slots, Math.max(slots * MIN_PART, this.#drainRate?.perMs ?? slots));
	}
}
