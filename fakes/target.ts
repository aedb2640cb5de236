import {type TargetResult} from '../src/core/index.js';
import {type Random} from './random.js';
import {type Scheduler} from './scheduler.js';

/** The payload of a simulated request. */
export type FakeRequest = {
	/** The id of the caller's request that causes this one. */
	readonly root: string;
	readonly service: string;
	readonly operation: string;
	readonly className: string;
	readonly idempotent: boolean;
	/** The value that the answer must repeat. */
	readonly digest: string;
	/** The number of the caller's attempt that this belongs to, from 1. */
	readonly send?: number;
	/** Identifies a call; retries by daemons keep the id. */
	readonly callId?: string;
};

/** The payload of a complete answer; its digest shows which request it answers. */
export type FakeAnswer = {readonly digest: string};

/** A call that a target makes while it runs a request. */
export type ChildCall = {readonly service: string; readonly method: string; readonly path: string; readonly operation: string; readonly idempotent: boolean};

/** The configuration of a simulated target. */
export type FakeTargetOptions = {
	readonly slots: number;
	/** The number of requests that it accepts at once; those beyond its slots wait in the target. */
	readonly connections: number;
	readonly meanMs: number;
	/** Returns the groups of nested calls of an operation: groups run in sequence, the calls of a group concurrently. */
	readonly calls: (operation: string) => ReadonlyArray<readonly ChildCall[]>;
	/** The probabilities, for each part of a run, that the run ends without an answer or with a failure. */
	readonly brokenRunShare?: number;
	readonly failedRunShare?: number;
	/** The factor on service times while the target is cold, which it is for `coldMs` after a restart. */
	readonly coldFactor?: number;
	readonly coldMs?: number;
};

/** The functions that a target uses of its host. */
export type TargetHost = {
	readonly call: (runId: number, child: ChildCall, request: FakeRequest, done: (complete: boolean) => void) => void;
	readonly result: (runId: number, result: TargetResult) => void;
	/** Called when a request begins to run. */
	readonly onRun: (request: FakeRequest) => void;
	readonly onSlotTime: (request: FakeRequest, ms: number, complete: boolean) => void;
};

type Run = {readonly runId: number; readonly request: FakeRequest; startMs: number; cancelled: boolean};

/** A target in virtual time with slots, a service time and nested calls to other services. */
export class FakeTarget {
	/** A factor on the target's service times. */
	slowdown = 1;
	isUp = true;
	readonly #options: FakeTargetOptions;
	readonly #scheduler: Scheduler;
	readonly #random: Random;
	readonly #host: TargetHost;
	readonly #running = new Map<number, Run>();
	readonly #waiting: Run[] = [];
	#startMs: number;
	#epoch = 0;

	constructor(options: FakeTargetOptions, scheduler: Scheduler, random: Random, host: TargetHost) {
		this.#options = options;
		this.#scheduler = scheduler;
		this.#random = random;
		this.#host = host;
		this.#startMs = scheduler.nowMs - (options.coldMs ?? 0);
	}

	get slots(): number {
		return this.#options.slots;
	}

	get connections(): number {
		return this.#options.connections;
	}

	get runningCount(): number {
		return this.#running.size;
	}

	/** Kills the process; all its requests end without an answer. */
	kill(): void {
		this.isUp = false;
		this.#epoch++;
		const lost = [...this.#running.values(), ...this.#waiting.splice(0)];
		this.#running.clear();
		for (const {runId} of lost) {
			this.#host.result(runId, {kind: 'broken'});
		}
	}

	/** Starts a new process, which is cold at first. */
	restart(): void {
		this.isUp = true;
		this.#startMs = this.#scheduler.nowMs;
	}

	startRun(runId: number, request: FakeRequest): void {
		if (!this.isUp || this.#running.size + this.#waiting.length >= this.#options.connections) {
			this.#host.result(runId, {kind: 'unsent'});
			return;
		}

		const run: Run = {
			runId, request, startMs: 0, cancelled: false,
		};
		if (this.#running.size < this.#options.slots) {
			this.#start(run);
		} else {
			this.#waiting.push(run);
		}
	}

	cancel(runId: number): void {
		const run = this.#running.get(runId);
		if (run !== undefined) {
			run.cancelled = true;
			this.#end(run, {kind: 'broken'});
			return;
		}

		const at = this.#waiting.findIndex(waiting => waiting.runId === runId);
		if (at !== -1) {
			this.#waiting.splice(at, 1);
			this.#host.result(runId, {kind: 'broken'});
		}
	}

	#start(run: Run): void {
		run.startMs = this.#scheduler.nowMs;
		this.#running.set(run.runId, run);
		this.#host.onRun(run.request);
		const groups = this.#options.calls(run.request.operation);
		this.#step(run, groups, 0, this.#serviceMs() / (groups.length + 1));
	}

	// Alternates between a part of the run's own work and a group of nested calls.
	#step(run: Run, groups: ReadonlyArray<readonly ChildCall[]>, at: number, partMs: number): void {
		const epoch = this.#epoch;
		this.#scheduler.schedule(partMs, () => {
			if (run.cancelled || epoch !== this.#epoch) {
				return;
			}

			if (this.#endsByFault(run)) {
				return;
			}

			if (at >= groups.length) {
				this.#end(run, completeAnswer(run.request, 200));
				return;
			}

			this.#callAll(run, groups[at], complete => {
				if (run.cancelled || epoch !== this.#epoch) {
					return;
				}

				if (complete) {
					this.#step(run, groups, at + 1, partMs);
				} else {
					this.#end(run, completeAnswer(run.request, 503));
				}
			});
		});
	}

	#endsByFault(run: Run): boolean {
		const {brokenRunShare: breakShare = 0, failedRunShare: failShare = 0} = this.#options;
		if (breakShare > 0 && this.#random.chance(breakShare)) {
			this.#end(run, {kind: 'broken'});
			return true;
		}

		if (failShare > 0 && this.#random.chance(failShare)) {
			this.#end(run, completeAnswer(run.request, 503));
			return true;
		}

		return false;
	}

	#callAll(run: Run, group: readonly ChildCall[], done: (complete: boolean) => void): void {
		const results: boolean[] = [];
		const onResult = (ok: boolean) => {
			results.push(ok);
			if (results.length === group.length) {
				done(results.every(Boolean));
			}
		};

		for (const child of group) {
			this.#host.call(run.runId, child, run.request, onResult);
		}
	}

	#end(run: Run, result: TargetResult): void {
		this.#running.delete(run.runId);
		this.#host.onSlotTime(run.request, this.#scheduler.nowMs - run.startMs, result.kind === 'whole' && result.status === 200);
		this.#host.result(run.runId, result);
		const next = this.#waiting.shift();
		if (next !== undefined) {
			this.#start(next);
		}
	}

	#serviceMs(): number {
		const {meanMs, coldFactor = 1, coldMs = 0} = this.#options;
		const isCold = this.#scheduler.nowMs - this.#startMs < coldMs;
		return this.#random.serviceMs(meanMs) * this.slowdown * (isCold ? coldFactor : 1);
	}
}

function completeAnswer(request: FakeRequest, status: number): TargetResult {
	const payload: FakeAnswer = {digest: request.digest};
	return {
		kind: 'whole', status, payload, claimsNotRun: false,
	};
}
