import {type FakeSite, type CallerAnswer, Random} from '../../fakes/index.js';
import {type Deployment, type RootKind, findOperation} from './deployment.js';

/** Number of distinct callers, over which fairness is measured. */
const CALLER_COUNT = 200;
const MAX_SENDS_PER_REQUEST = 4;

/** A request that a caller sends, with its result and cost so far. */
export type RootRecord = {
	readonly arrivedMs: number;
	readonly caller: number;
	readonly isImportant: boolean;
	readonly className: string;
	/** How often the caller has sent it. */
	sends: number;
	doneMs?: number;
	outcome?: 'complete' | 'failed';
	/** Slot time at all targets that was spent on it. */
	slotMs: number;
	/** The part of `slotMs` that went to runs without a complete answer. */
	wastedMs: number;
};

/** Times that daemons took to refuse requests, in ms from arrival: those with reason `pressure`, and all. */
export type RefusalTimes = {readonly forPressure: number[]; readonly all: number[]};

/** Callers that abandon a request after their waiting time and resend a failed one at once, ignoring any retry-after delay. */
export class Callers {
	readonly roots: Map<string, RootRecord>;
	readonly refusals: RefusalTimes = {forPressure: [], all: []};
	ratePerSecond = 0;
	/** Whether gaps between arrivals are exponential rather than close to even. */
	hasRandomArrivals = false;
	readonly #site: FakeSite;
	readonly #deployment: Deployment;
	readonly #random: Random;
	#nextId = 1;

	constructor(site: FakeSite, deployment: Deployment, seed: number, roots: Map<string, RootRecord>) {
		this.#site = site;
		this.#deployment = deployment;
		this.#random = new Random(seed);
		this.roots = roots;
	}

	/** Schedules the next arrival, and each one after it. */
	start(): void {
		const meanGapMs = this.ratePerSecond > 0 ? 1000 / this.ratePerSecond : 10;
		const delayMs = this.hasRandomArrivals ? this.#random.exponential(meanGapMs) : meanGapMs * this.#random.between(0.5, 1.5);
		this.#site.scheduler.schedule(delayMs, () => {
			if (this.ratePerSecond > 0) {
				this.#startRequest();
			}

			this.start();
		});
	}

	#startRequest(): void {
		const kind = this.#pickRootKind();
		const id = `r${this.#nextId++}`;
		const plan = findOperation(this.#deployment, kind);
		const record: RootRecord = {
			arrivedMs: this.#site.nowMs, caller: this.#random.below(CALLER_COUNT), isImportant: kind.isImportant, className: plan.kind, sends: 0, slotMs: 0, wastedMs: 0,
		};
		this.roots.set(id, record);
		this.#send(id, kind, record, 1);
	}

	#send(id: string, kind: RootKind, record: RootRecord, attempt: number): void {
		const plan = findOperation(this.#deployment, kind);
		const remainingMs = record.arrivedMs + plan.waitMs - this.#site.nowMs;
		record.sends++;
		let isSettled = false;
		const sent = this.#site.send(this.#pickDaemon(), {
			request: {
				root: id, service: kind.service, operation: kind.operation, className: plan.kind, idempotent: plan.idempotent, digest: id,
			},
			method: plan.idempotent ? 'GET' : 'POST',
			path: `/${kind.operation}`,
			key: plan.idempotent ? undefined : id,
			attempt: plan.idempotent ? undefined : attempt,
			budgetMs: Math.max(1, remainingMs),
		}, answer => {
			isSettled = true;
			this.#onAnswer(id, kind, record, {answer, attempt});
		});
		this.#site.scheduler.schedule(remainingMs, () => {
			if (!isSettled) {
				sent.abandon();
				record.outcome ??= 'failed';
			}
		});
	}

	#onAnswer(id: string, kind: RootKind, record: RootRecord, {answer, attempt}: {answer: CallerAnswer; attempt: number}): void {
		if (answer.outcome === 'complete') {
			record.outcome ??= 'complete';
			record.doneMs = this.#site.nowMs;
			return;
		}

		this.#recordRefusal(answer);
		const {waitMs} = findOperation(this.#deployment, kind);
		const isLastSend = this.#site.nowMs - record.arrivedMs >= waitMs || record.sends >= MAX_SENDS_PER_REQUEST;
		if (isLastSend) {
			record.outcome = 'failed';
			return;
		}

		const mayHaveRun = answer.outcome === 'unknown' || answer.outcome === 'broken';
		this.#send(id, kind, record, mayHaveRun ? attempt + 1 : attempt);
	}

	#recordRefusal({outcome, reason, decidedMs}: CallerAnswer): void {
		if (outcome !== 'not-run') {
			return;
		}

		this.refusals.all.push(decidedMs);
		if (reason === 'pressure') {
			this.refusals.forPressure.push(decidedMs);
		}
	}

	#pickDaemon(): string {
		const {ids} = this.#site;
		for (let draws = 0; draws < 5; draws++) {
			const id = this.#random.pick(ids);
			if (this.#site.isUp(id)) {
				return id;
			}
		}

		return ids[0];
	}

	#pickRootKind(): RootKind {
		let remainingShare = this.#random.next();
		for (const kind of this.#deployment.roots) {
			remainingShare -= kind.share;
			if (remainingShare < 0) {
				return kind;
			}
		}

		return this.#deployment.roots[0];
	}
}
