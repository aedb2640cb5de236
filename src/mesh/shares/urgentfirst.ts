import {RANK_COUNT} from '../../core/index.js';

/** Time constant of what is wanted of each rank, in ms. */
const RATE_MS = 2000;
/** The most that is saved up of the fraction of a rank. */
const MAX_CREDIT = 2;

/**
 * Divides the fraction that may be spent of a budget among the ranks of what is
 * wanted here: the most urgent may be spent whole, as far as it goes.
 * Handles the load pattern in which an organisation sends many times its quota,
 * and its urgent requests would be refused as often as those that can wait.
 */
export class UrgentFirst {
	readonly #wantedPerS = new Float64Array(RANK_COUNT);
	/** Count fractions: a spending is admitted for each whole number. Begin at random, as all daemons would otherwise wait for it at the same time. */
	readonly #credits = new Float64Array(RANK_COUNT);

	/** @param phase where the credits begin, from 0 to 1 */
	constructor(phase: number) {
		this.#credits.fill(phase);
	}

	/** What is wanted of all ranks together. */
	get wantedPerS(): number {
		return this.#wantedPerS.reduce((sum, perS) => sum + perS, 0);
	}

	/** Counts what is wanted. */
	record(rank: number): void {
		this.#wantedPerS[rank] += 1000 / RATE_MS;
	}

	advance(passedMs: number): void {
		const decay = Math.exp(-passedMs / RATE_MS);
		for (let rank = 0; rank < RANK_COUNT; rank++) {
			this.#wantedPerS[rank] *= decay;
		}
	}

	/** Earns the fraction for a request. @returns after what time it may be spent, in ms; 0 if at once, infinite if less urgent ones have no part in it */
	earn(rank: number, fraction: number): number {
		const own = this.fractionOf(rank, fraction);
		this.#credits[rank] = Math.min(this.#credits[rank] + own, MAX_CREDIT);
		return this.#credits[rank] >= 1 ? 0 : (1 - this.#credits[rank]) * 1000 / (own * this.#wantedPerS[rank]);
	}

	spend(rank: number): void {
		this.#credits[rank]--;
	}

	/** Ends the saving while no fraction is in force. */
	reset(): void {
		for (let rank = 0; rank < RANK_COUNT; rank++) {
			this.#credits[rank] %= 1;
		}
	}

	/** The part of what is wanted of a rank that may be spent. */
	fractionOf(rank: number, fraction: number): number {
		let above = 0;
		let sum = 0;
		for (let other = 0; other < RANK_COUNT; other++) {
			above += other < rank ? this.#wantedPerS[other] : 0;
			sum += this.#wantedPerS[other];
		}

		return Math.min(1, Math.max(0, (fraction * sum) - above) / this.#wantedPerS[rank]);
	}
}
