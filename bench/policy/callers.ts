import {type FakeSite, type CallerAnswer, Random} from '../../fakes/index.js';
import {type Deployment, type RootKind, operationOf} from './deployment.js';

const CALLERS = 200;
const TRIES = 4;

/** One caller's request and how it fared. */
export type RootRecord = {
	readonly atMs: number;
	readonly caller: number;
	readonly isImportant: boolean;
	readonly className: string;
	sends: number;
	doneMs?: number;
	outcome?: 'complete' | 'failed';
	slotMs: number;
	wastedMs: number;
};

/** How refusals were decided, in ms from arrival at the daemon. */
export type RefusalTimes = {readonly first: number[]; readonly all: number[]};

/** Callers that wait, give up, and resend at once whatever they are told. */
export class Callers {
	readonly roots: Map<string, RootRecord>;
	readonly refusals: RefusalTimes = {first: [], all: []};
	/** Requests a second. */
	rate = 0;
	/** Whether arrivals come at random rather than evenly. */
	isRandom = false;
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

	start(): void {
		const evenMs = this.rate > 0 ? 1000 / this.rate : 10;
		const delayMs = this.isRandom ? this.#random.exponential(evenMs) : evenMs * this.#random.between(0.5, 1.5);
		this.#site.scheduler.schedule(delayMs, () => {
			if (this.rate > 0) {
				this.#begin();
			}

			this.start();
		});
	}

	#begin(): void {
		const kind = this.#pick();
		const id = `r${this.#nextId++}`;
		const plan = operationOf(this.#deployment, kind);
		const record: RootRecord = {
			atMs: this.#site.nowMs, caller: this.#random.below(CALLERS), isImportant: kind.isImportant, className: plan.kind, sends: 0, slotMs: 0, wastedMs: 0,
		};
		this.roots.set(id, record);
		this.#send(id, kind, record, 1);
	}

	#send(id: string, kind: RootKind, record: RootRecord, attempt: number): void {
		const plan = operationOf(this.#deployment, kind);
		const leftMs = record.atMs + plan.waitMs - this.#site.nowMs;
		record.sends++;
		let over = false;
		const sent = this.#site.send(this.#daemon(), {
			request: {
				root: id, service: kind.service, operation: kind.operation, className: plan.kind, idempotent: plan.idempotent, digest: id,
			},
			method: plan.idempotent ? 'GET' : 'POST',
			path: `/${kind.operation}`,
			key: plan.idempotent ? undefined : id,
			attempt: plan.idempotent ? undefined : attempt,
			budgetMs: Math.max(1, leftMs),
		}, answer => {
			over = true;
			this.#onAnswer(id, kind, record, {answer, attempt});
		});
		this.#site.scheduler.schedule(leftMs, () => {
			if (!over) {
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

		this.#noteRefusal(answer);
		const {waitMs} = operationOf(this.#deployment, kind);
		const isOver = this.#site.nowMs - record.atMs >= waitMs || record.sends >= TRIES;
		if (isOver) {
			record.outcome = 'failed';
			return;
		}

		const mayHaveRun = answer.outcome === 'unknown' || answer.outcome === 'broken';
		this.#send(id, kind, record, mayHaveRun ? attempt + 1 : attempt);
	}

	#noteRefusal({outcome, reason, decidedMs}: CallerAnswer): void {
		if (outcome !== 'not-run') {
			return;
		}

		this.refusals.all.push(decidedMs);
		if (reason === 'pressure') {
			this.refusals.first.push(decidedMs);
		}
	}

	#daemon(): string {
		const {ids} = this.#site;
		for (let tries = 0; tries < 5; tries++) {
			const id = this.#random.pick(ids);
			if (this.#site.isUp(id)) {
				return id;
			}
		}

		return ids[0];
	}

	#pick(): RootKind {
		let at = this.#random.next();
		for (const kind of this.#deployment.roots) {
			at -= kind.share;
			if (at < 0) {
				return kind;
			}
		}

		return this.#deployment.roots[0];
	}
}
