import {type CrashReport, type Survival} from './crashreport.js';

/** How long a crash counts, in ms. */
export const CRASH_MEMORY_MS = 60_000;
/** The most crashes that are remembered; the oldest are forgotten first. */
const MAX_CRASHES = 128;
/** The most requests of one crash that are remembered. */
const MAX_REQUESTS = 256;
/** The most survivals that are remembered for crashes of which nothing was heard yet. */
const MAX_SURVIVALS = 4096;
/** The crashes from which a request is a suspect: at a single one, all that were in flight look alike. */
const SUSPECT_FROM = 2;
/** The lowest rate at which targets are assumed to crash by themselves, for each target and ms: once in ten minutes. */
const MIN_CRASHES_PER_MS = 1 / 600_000;

type Crash = {
	readonly report: CrashReport;
	readonly atMs: number;
	/** The number of its requests that are held. */
	heldCount: number;
};

/**
 * The requests that were in flight when targets crashed. Each crash counts once for each of them, until the
 * request is answered by a target, the crash is explained by a request that is held, or it is too long ago.
 * The result doesn't depend on the order in which crashes and survivals are heard.
 */
export class Suspects {
	readonly #crashes = new Map<number, Crash>();
	/** The crashes of each request that no survival has refuted. */
	readonly #byRequest = new Map<string, Set<number>>();
	/** The requests with enough such crashes to be suspects. */
	readonly #repeated = new Set<string>();
	/** Survivals that may be heard before the crash, by request and crash, with their times. */
	readonly #survivals = new Map<string, number>();
	readonly #isHeld: (request: string) => boolean;

	/** @param isHeld whether a request is known to crash targets */
	constructor(isHeld: (request: string) => boolean) {
		this.#isHeld = isHeld;
	}

	/** Whether no request was in flight at a crash that counts. */
	get isEmpty(): boolean {
		return this.#byRequest.size === 0;
	}

	/** Whether a request may be a suspect. */
	get mayHaveSuspects(): boolean {
		return this.#repeated.size > 0;
	}

	/** Whether this start of a target is known to have crashed. */
	hasCrashed(start: string): boolean {
		return [...this.#crashes.values()].some(({report}) => report.start === start);
	}

	/** The crashes that are remembered, those of the last minute, with their present age. */
	reports(nowMs: number): CrashReport[] {
		return [...this.#crashes.values()].map(({report, atMs}) => ({...report, ageMs: nowMs - atMs}));
	}

	/** The survivals of the crashes that are remembered. */
	survivals(): Survival[] {
		const byRequest = new Map<string, number[]>();
		for (const [id, {report}] of this.#crashes) {
			for (const request of report.requests.filter(one => this.#survivals.has(keyOf(one, id)))) {
				byRequest.set(request, [...byRequest.get(request) ?? [], id]);
			}
		}

		return [...byRequest].map(([request, crashes]) => ({request, crashes}));
	}

	/** The requests from which something is suspected, with the number of crashes that count. */
	list(): Array<{readonly request: string; readonly crashes: number}> {
		return [...this.#repeated].map(request => ({request, crashes: this.countOf(request)})).filter(({crashes}) => crashes >= SUSPECT_FROM);
	}

	/** @returns whether the crash is new */
	recordCrash(report: CrashReport, nowMs: number): boolean {
		const {id, ageMs} = report;
		if (this.#crashes.has(id) || ageMs >= CRASH_MEMORY_MS) {
			return false;
		}

		const requests = [...new Set(report.requests.slice(0, MAX_REQUESTS))];
		this.#crashes.set(id, {report: {...report, requests}, atMs: nowMs - Math.max(0, ageMs), heldCount: requests.filter(request => this.#isHeld(request)).length});
		for (const request of requests) {
			if (!this.#survivals.has(keyOf(request, id))) {
				this.#add(request, id);
			}
		}

		if (this.#crashes.size > MAX_CRASHES) {
			const [[oldest]] = [...this.#crashes].toSorted(([, a], [, b]) => a.atMs - b.atMs);
			this.#forget(oldest);
		}

		return true;
	}

	/** Counts the requests anew that explain crashes, as another is held or no longer is. */
	onHoldsChanged(): void {
		for (const crash of this.#crashes.values()) {
			crash.heldCount = crash.report.requests.filter(request => this.#isHeld(request)).length;
		}
	}

	/** @returns whether the survival is new */
	recordSurvival({request, crashes}: Survival, nowMs: number): boolean {
		let isNew = false;
		for (const crash of crashes) {
			const key = keyOf(request, crash);
			if (!this.#survivals.has(key)) {
				isNew = true;
				this.#survivals.set(key, nowMs);
				this.#remove(request, crash);
			}
		}

		for (const [key] of this.#survivals) {
			if (this.#survivals.size <= MAX_SURVIVALS) {
				break;
			}

			this.#survivals.delete(key);
		}

		return isNew;
	}

	/** What a run that a target has answered shows: its request had no part in the crashes before the run began. */
	survivalOf(request: string, startedMs: number): Survival | undefined {
		const crashes = [...this.#byRequest.get(request) ?? []].filter(id => this.#crashes.get(id)!.atMs < startedMs);
		return crashes.length === 0 ? undefined : {request, crashes};
	}

	/** The number of crashes that count for the request. */
	countOf(request: string): number {
		let count = 0;
		for (const id of this.#byRequest.get(request) ?? []) {
			count += this.#isExplained(id, request) ? 0 : 1;
		}

		return count;
	}

	/** The number of crashes of this start of a target that the request wasn't in flight at. */
	countWithout(request: string, start: string): number {
		return [...this.#crashes.values()].filter(({report}) => report.start === start && !report.requests.includes(request)).length;
	}

	isSuspect(request: string): boolean {
		return this.#repeated.has(request) && this.countOf(request) >= SUSPECT_FROM;
	}

	/** The chance that the crashes with this request as the only suspect had all come without it; 1 if there is none. */
	chanceWithout(request: string): number {
		let chance = 1;
		for (const id of this.#byRequest.get(request) ?? []) {
			const {report} = this.#crashes.get(id)!;
			chance *= report.suspect === request ? report.chance : 1;
		}

		return chance;
	}

	/** How often targets of the service crash that no held request explains, for each target and ms. */
	crashesPerMs(service: string, targets: number): number {
		const count = [...this.#crashes.values()].filter(({report, heldCount}) => report.service === service && heldCount === 0).length;
		return Math.max(MIN_CRASHES_PER_MS, count / (Math.max(1, targets) * CRASH_MEMORY_MS));
	}

	/** Counts nothing any longer of what is known against the request. @returns what the others should hear */
	clear(request: string, nowMs: number): Survival {
		const survival = {request, crashes: [...this.#byRequest.get(request) ?? []]};
		this.recordSurvival(survival, nowMs);
		return survival;
	}

	removeExpired(nowMs: number): void {
		for (const [id, {atMs}] of this.#crashes) {
			if (nowMs - atMs >= CRASH_MEMORY_MS) {
				this.#forget(id);
			}
		}

		for (const [key, atMs] of this.#survivals) {
			if (nowMs - atMs >= CRASH_MEMORY_MS) {
				this.#survivals.delete(key);
			}
		}
	}

	#isExplained(id: number, request: string): boolean {
		const {heldCount} = this.#crashes.get(id)!;
		return heldCount > 1 || (heldCount === 1 && !this.#isHeld(request));
	}

	#add(request: string, id: number): void {
		const crashes = this.#byRequest.get(request) ?? new Set();
		this.#byRequest.set(request, crashes.add(id));
		if (crashes.size >= SUSPECT_FROM) {
			this.#repeated.add(request);
		}
	}

	#forget(id: number): void {
		for (const request of this.#crashes.get(id)!.report.requests) {
			this.#remove(request, id);
		}

		this.#crashes.delete(id);
	}

	#remove(request: string, id: number): void {
		const crashes = this.#byRequest.get(request);
		if (crashes?.delete(id) !== true) {
			return;
		}

		if (crashes.size < SUSPECT_FROM) {
			this.#repeated.delete(request);
		}

		if (crashes.size === 0) {
			this.#byRequest.delete(request);
		}
	}
}

function keyOf(request: string, crash: number): string {
	return `${request} ${crash}`;
}
