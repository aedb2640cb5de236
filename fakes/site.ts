import {
	type Answer, type ConfigObject, type Input, type JoinRecord, DaemonCore, type Output, type TargetResult,
} from '../src/core/index.js';
import {Network} from './network.js';
import {FakePlatform} from './platform.js';
import {Random} from './random.js';
import {Scheduler} from './scheduler.js';
import {
	type ChildCall, type FakeAnswer, type FakeRequest, FakeTarget, type FakeTargetOptions,
} from './target.js';

const TICK_MS = 25;
/** Tells the work of one process of a host from that of the next. */
const EPOCH_STEP = 1_000_000_000;
const NO_CONTEXT = -1;
const ANNOUNCE_MS = 1000;

/** Whatever decides for a host: the product's core or a baseline. */
export type Decider = {step(input: Input, nowMs: number): Output[]};

/** One host of the fake site. */
export type HostOptions = {
	readonly id: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly service?: string;
	readonly target?: FakeTargetOptions;
};

/** What a caller sends. */
export type CallerRequest = {
	readonly request: FakeRequest;
	readonly method: string;
	readonly path: string;
	readonly key?: string;
	readonly attempt?: number;
	readonly budgetMs?: number;
	/** Whether its answer is to be dropped on the way back. */
	readonly loseAnswer?: boolean;
};

/** What a caller sees. */
export type CallerAnswer = {
	readonly outcome: Answer['outcome'] | 'unsent' | 'broken';
	readonly reason?: string;
	readonly retryAfterMs?: number;
	readonly digest?: string;
	/** From the request's arrival at the daemon to its answer there, in ms. */
	readonly decidedMs: number;
};

/** What happens at the targets, for those who judge from outside. */
export type SiteObserver = {
	onRun?: (host: string, request: FakeRequest, nowMs: number) => void;
	onSlotTime?: (host: string, request: FakeRequest, ms: number, complete: boolean) => void;
	/** A call is refused or a run is begun at a host; for the order of shedding. */
	onOutput?: (host: string, output: Output) => void;
	/** Called before each input reaches a host's core. */
	onInput?: (host: string, input: Input) => void;
};

type Host = {
	readonly options: HostOptions;
	readonly target?: FakeTarget;
	decider: Decider | undefined;
	isPaused: boolean;
	readonly inbox: Input[];
	/** Raised at each start, so that what an earlier process had open is void. */
	epoch: number;
	readonly open: Map<number, (answer: Answer) => void>;
	readonly broken: Map<number, () => void>;
	isSilent: boolean;
};

/** How a site is set up. */
export type SiteOptions = {
	readonly seed: number;
	readonly startMs: number;
	readonly hosts: readonly HostOptions[];
	readonly config: readonly ConfigObject[];
	readonly delayMs: (from: string, to: string) => number;
	readonly callerDelayMs: number;
	/** Makes a host's decider; the product's core unless a bench compares another. */
	readonly createDecider?: (host: HostOptions, seed: number, nowMs: number) => Decider;
	readonly ledgerCapacity?: number;
	/** Whether targets forget to pass the context on. */
	readonly dropsContext?: boolean;
	readonly tickMs?: number;
	readonly observer?: SiteObserver;
};

/** A site in virtual time: real cores, fake network, platform and targets. */
export class FakeSite {
	readonly scheduler: Scheduler;
	readonly random: Random;
	readonly network: Network;
	readonly platform: FakePlatform;
	readonly #options: SiteOptions;
	readonly #hosts = new Map<string, Host>();
	#nextRequestId = 1;
	#depth = 0;

	constructor(options: SiteOptions) {
		this.#options = options;
		this.scheduler = new Scheduler(options.startMs);
		this.random = new Random(options.seed);
		this.network = new Network(this.scheduler, this.random, options.delayMs);
		this.platform = new FakePlatform(this.scheduler, this.random);
		for (const object of options.config) {
			this.platform.history.set(object.name, [object]);
		}

		for (const host of options.hosts) {
			this.#add(host);
		}
	}

	get nowMs(): number {
		return this.scheduler.nowMs;
	}

	get ids(): string[] {
		return [...this.#hosts.keys()];
	}

	run(forMs: number): void {
		this.scheduler.runUntil(this.scheduler.nowMs + forMs);
	}

	isUp(id: string): boolean {
		return this.#host(id).decider !== undefined;
	}

	/** Which process of the host this is, counted from its first. */
	incarnation(id: string): number {
		return this.#host(id).epoch;
	}

	/** The core of a host, for benches that look at its state. */
	core(id: string): Pick<DaemonCore, 'status' | 'explain'> | undefined {
		const {decider} = this.#host(id);
		return decider !== undefined && 'explain' in decider ? decider as DaemonCore : undefined;
	}

	target(id: string): FakeTarget | undefined {
		return this.#host(id).target;
	}

	/** Sends a caller's request to a daemon. */
	send(id: string, sent: CallerRequest, done: (answer: CallerAnswer) => void): {abandon: () => void} {
		const host = this.#host(id);
		const backMs = this.#options.callerDelayMs;
		const requestId = this.#nextRequestId++;
		let abandoned = false;
		const finish = (answer: CallerAnswer) => {
			this.scheduler.schedule(backMs, () => {
				if (!abandoned && sent.loseAnswer !== true) {
					done(answer);
				}
			});
		};

		this.scheduler.schedule(backMs, () => {
			this.#deliver(host, requestId, sent, finish);
		});
		return {
			abandon: () => {
				abandoned = true;
				this.scheduler.schedule(backMs, () => {
					host.open.delete(requestId);
					host.broken.delete(requestId);
					this.input(id, {type: 'abandon', id: requestId});
				});
			},
		};
	}

	/** Hands an input to a host's core; a paused process gets it when it goes on. */
	input(id: string, input: Input): void {
		const host = this.#host(id);
		if (host.decider === undefined) {
			return;
		}

		if (host.isPaused) {
			host.inbox.push(input);
			return;
		}

		this.#step(host, host.decider, input);
	}

	/** The daemon's process is killed; its memory is lost, its target goes on. */
	kill(id: string): void {
		const host = this.#host(id);
		host.decider = undefined;
		host.epoch++;
		host.isPaused = false;
		host.inbox.length = 0;
		host.open.clear();
		for (const breakOff of host.broken.values()) {
			breakOff();
		}

		host.broken.clear();
		this.network.drop(id);
	}

	/** The daemon starts anew with an empty memory. */
	start(id: string, seeds: readonly JoinRecord[] = []): void {
		const host = this.#host(id);
		const seed = this.random.below(0x7F_FF_FF_FF);
		host.epoch++;
		host.decider = this.#options.createDecider === undefined
			? this.#makeNode(host.options, seed, seeds)
			: this.#options.createDecider(host.options, seed, this.nowMs);
		this.#tick(host, host.epoch);
		this.#announce(host, host.epoch);
	}

	pause(id: string): void {
		this.#host(id).isPaused = true;
	}

	resume(id: string): void {
		const host = this.#host(id);
		host.isPaused = false;
		for (const input of host.inbox.splice(0)) {
			this.input(id, input);
		}
	}

	/** Begins a graceful stop. */
	stop(id: string): void {
		this.input(id, {type: 'drain'});
	}

	/** The target says that it leaves, or comes back. */
	setServing(id: string, serving: boolean): void {
		const host = this.#host(id);
		host.isSilent = !serving;
		if (serving) {
			this.#announceOnce(host);
		} else {
			this.input(id, {type: 'withdraw'});
		}
	}

	/** Host and target lose their power. */
	killHost(id: string): void {
		this.kill(id);
		this.#host(id).target?.kill();
	}

	restartHost(id: string): void {
		this.#host(id).target?.restart();
		this.start(id);
	}

	#add(options: HostOptions): void {
		const {id} = options;
		const host: Host = {
			options,
			target: options.target === undefined ? undefined : this.#makeTarget(id, options.target),
			decider: undefined,
			isPaused: false,
			inbox: [],
			epoch: 0,
			open: new Map(),
			broken: new Map(),
			isSilent: false,
		};
		this.#hosts.set(id, host);
		this.network.add(id, {
			isUp: () => host.decider !== undefined && !host.isPaused,
			onFrame: (peer, side, frame) => {
				this.input(id, {
					type: 'frame', peer, side, frame,
				});
			},
			onLink: (peer, side, up) => {
				this.input(id, {
					type: 'link', peer, side, up,
				});
			},
		});
		this.start(id);
	}

	#makeNode({id, region, failureDomain}: HostOptions, seed: number, seeds: readonly JoinRecord[]): DaemonCore {
		return new DaemonCore({
			id, address: id, region, failureDomain, seed, seeds, ledgerCapacity: this.#options.ledgerCapacity,
		}, this.nowMs);
	}

	#makeTarget(id: string, options: FakeTargetOptions): FakeTarget {
		return new FakeTarget(options, this.scheduler, this.random, {
			call: (runId, child, request, done) => {
				this.#callChild(id, runId, {child, request}, done);
			},
			result: (runId, result) => {
				this.#onResult(id, runId, result);
			},
			onRun: request => {
				this.#options.observer?.onRun?.(id, request, this.nowMs);
			},
			onSlotTime: (request, ms, complete) => {
				this.#options.observer?.onSlotTime?.(id, request, ms, complete);
			},
		});
	}

	#deliver(host: Host, requestId: number, sent: CallerRequest, finish: (answer: CallerAnswer) => void): void {
		if (host.decider === undefined) {
			finish({outcome: 'unsent', decidedMs: 0});
			return;
		}

		const arrivedMs = this.nowMs;
		host.open.set(requestId, answer => {
			host.broken.delete(requestId);
			finish({
				outcome: answer.outcome,
				reason: answer.reason,
				retryAfterMs: answer.retryAfterMs,
				digest: (answer.payload as FakeAnswer | undefined)?.digest,
				decidedMs: this.nowMs - arrivedMs,
			});
		});
		host.broken.set(requestId, () => {
			finish({outcome: 'broken', decidedMs: this.nowMs - arrivedMs});
		});
		this.input(host.options.id, {
			type: 'request',
			id: requestId,
			fromTarget: false,
			service: sent.request.service,
			method: sent.method,
			path: sent.path,
			key: sent.key,
			attempt: sent.attempt,
			budgetMs: sent.budgetMs,
			payload: sent.request,
		});
	}

	// An answer to a daemon that is gone reaches nobody. One that comes while the
	// core's outputs are still being carried out waits until that is done.
	#onResult(id: string, runId: number, result: TargetResult): void {
		const host = this.#host(id);
		if (Math.floor(runId / EPOCH_STEP) !== host.epoch) {
			return;
		}

		const input: Input = {type: 'target', id: runId % EPOCH_STEP, result};
		if (this.#depth > 0) {
			this.scheduler.schedule(0, () => {
				this.input(id, input);
			});
		} else {
			this.input(id, input);
		}
	}

	#callChild(id: string, runId: number, {child, request}: {child: ChildCall; request: FakeRequest}, done: (complete: boolean) => void): void {
		const host = this.#host(id);
		const requestId = this.#nextRequestId++;
		if (host.decider === undefined) {
			this.scheduler.schedule(0, () => {
				done(false);
			});
			return;
		}

		host.open.set(requestId, answer => {
			host.broken.delete(requestId);
			done(answer.outcome === 'complete');
		});
		host.broken.set(requestId, () => {
			done(false);
		});
		this.input(id, {
			type: 'request',
			id: requestId,
			fromTarget: true,
			context: this.#contextOf(host, runId),
			service: child.service,
			method: child.method,
			path: child.path,
			payload: {
				...request, service: child.service, operation: child.operation, idempotent: child.idempotent, callId: `c${requestId}`,
			},
		});
	}

	#contextOf(host: Host, runId: number): number | undefined {
		if (this.#options.dropsContext === true) {
			return undefined;
		}

		return Math.floor(runId / EPOCH_STEP) === host.epoch ? runId % EPOCH_STEP : NO_CONTEXT;
	}

	#step(host: Host, decider: Decider, input: Input): void {
		this.#options.observer?.onInput?.(host.options.id, input);
		this.#depth++;
		for (const output of decider.step(input, this.nowMs)) {
			if (host.decider === decider) {
				this.#options.observer?.onOutput?.(host.options.id, output);
				this.#do(host, output);
			}
		}

		this.#depth--;
	}

	#do(host: Host, output: Output): void {
		const {id} = host.options;
		switch (output.type) {
			case 'respond': {
				const finish = host.open.get(output.id);
				host.open.delete(output.id);
				finish?.(output.answer);
				break;
			}

			case 'dispatch': {
				host.target?.startRun((host.epoch * EPOCH_STEP) + output.id, output.payload as FakeRequest);
				break;
			}

			case 'cancel': {
				host.target?.cancel((host.epoch * EPOCH_STEP) + output.id);
				break;
			}

			case 'frame': {
				this.network.send(id, output.peer, output.side, output.frame);
				break;
			}

			case 'connect': {
				this.network.connect(id, output.peer);
				break;
			}

			case 'disconnect': {
				this.network.close(id, output.peer);
				break;
			}

			case 'platform': {
				this.#askPlatform(host, output);
				break;
			}

			case 'stopped': {
				this.kill(id);
				break;
			}

			case 'log': {
				break;
			}
		}
	}

	#askPlatform(host: Host, {request}: Extract<Output, {type: 'platform'}>): void {
		const {epoch} = host;
		this.platform.handle(host.options.id, request, {
			isUp: () => host.epoch === epoch && host.decider !== undefined,
			send: reply => {
				this.input(host.options.id, {type: 'platform', reply});
			},
		});
	}

	#tick(host: Host, epoch: number): void {
		const tickMs = this.#options.tickMs ?? TICK_MS;
		this.scheduler.schedule(this.random.next() * tickMs, () => {
			this.#tickOn(host, epoch, tickMs);
		});
	}

	#tickOn(host: Host, epoch: number, tickMs: number): void {
		if (host.epoch !== epoch) {
			return;
		}

		if (!host.isPaused) {
			this.input(host.options.id, {type: 'tick'});
		}

		this.scheduler.schedule(tickMs, () => {
			this.#tickOn(host, epoch, tickMs);
		});
	}

	// The target renews its announcement as long as it and the daemon are up.
	#announce(host: Host, epoch: number): void {
		if (host.epoch !== epoch || host.target === undefined) {
			return;
		}

		if (host.target.isUp && !host.isSilent) {
			this.#announceOnce(host);
		}

		this.scheduler.schedule(ANNOUNCE_MS, () => {
			this.#announce(host, epoch);
		});
	}

	#announceOnce({options, target}: Host): void {
		this.input(options.id, {
			type: 'announce',
			announcement: {
				service: options.service!, slots: target!.slots, connections: target!.connections, cold: (options.target?.coldMs ?? 0) > 0,
			},
		});
	}

	#host(id: string): Host {
		const host = this.#hosts.get(id);
		if (host === undefined) {
			throw new Error(`no host ${id}`);
		}

		return host;
	}
}
