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

/** The default interval of tick inputs, in ms. */
const TICK_MS = 25;
/** The distance between the run ids of successive daemon processes of a host, so that the ids never overlap. */
const RUN_IDS_PER_PROCESS = 1_000_000_000;
/** A context id that no run has; stands for a context from an earlier daemon process. */
const NO_CONTEXT = -1;
/** The interval of a target's announcements, in ms. */
const ANNOUNCE_MS = 1000;

/** Makes the decisions of a host: the daemon's core, or a baseline to compare it with. */
export type Decider = {step(input: Input, nowMs: number): Output[]};

/** The configuration of one simulated host. */
export type HostOptions = {
	readonly id: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly service?: string;
	readonly target?: FakeTargetOptions;
};

/** A request from a caller. */
export type CallerRequest = {
	readonly request: FakeRequest;
	readonly method: string;
	readonly path: string;
	readonly key?: string;
	readonly attempt?: number;
	readonly budgetMs?: number;
	/** Whether the answer is lost on its way back to the caller. */
	readonly loseAnswer?: boolean;
};

/** The answer that a caller receives. */
export type CallerAnswer = {
	readonly outcome: Answer['outcome'] | 'unsent' | 'broken';
	readonly reason?: string;
	readonly retryAfterMs?: number;
	readonly digest?: string;
	/** The time from the request's arrival at the daemon to the daemon's answer, in ms. */
	readonly decidedMs: number;
};

/** Callbacks that observe hosts and targets, for checks from outside. */
export type SiteObserver = {
	onRun?: (host: string, request: FakeRequest, nowMs: number) => void;
	onSlotTime?: (host: string, request: FakeRequest, ms: number, complete: boolean) => void;
	/** Receives each output of a host's core, for example to check the order in which calls are shed. */
	onOutput?: (host: string, output: Output) => void;
	/** Receives each input before the host's core does. */
	onInput?: (host: string, input: Input) => void;
};

type Host = {
	readonly options: HostOptions;
	readonly target?: FakeTarget;
	decider: Decider | undefined;
	isPaused: boolean;
	readonly inbox: Input[];
	/** Increases at each start and kill, so that work of an earlier process no longer counts. */
	incarnation: number;
	readonly pendingAnswers: Map<number, (answer: Answer) => void>;
	readonly failureHandlers: Map<number, () => void>;
	isSilent: boolean;
};

/** The configuration of a simulated site. */
export type SiteOptions = {
	readonly seed: number;
	readonly startMs: number;
	readonly hosts: readonly HostOptions[];
	readonly config: readonly ConfigObject[];
	readonly delayMs: (from: string, to: string) => number;
	readonly callerDelayMs: number;
	/** Creates a host's decider; the default is the daemon's core. */
	readonly createDecider?: (host: HostOptions, seed: number, nowMs: number) => Decider;
	readonly ledgerCapacity?: number;
	/** Whether targets omit the context from their nested calls. */
	readonly dropsContext?: boolean;
	readonly tickMs?: number;
	readonly observer?: SiteObserver;
};

/** A site in virtual time with the real daemon cores and a simulated network, platform and targets. */
export class FakeSite {
	readonly scheduler: Scheduler;
	readonly random: Random;
	readonly network: Network;
	readonly platform: FakePlatform;
	readonly #options: SiteOptions;
	readonly #hosts = new Map<string, Host>();
	#nextRequestId = 1;
	#stepDepth = 0;

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
			this.#addHost(host);
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

	/** Returns a number that identifies the daemon process of a host; it increases at each start and kill. */
	incarnation(id: string): number {
		return this.#host(id).incarnation;
	}

	/** Returns the core of a host, for benchmarks that read its state; undefined if the host has none. */
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
					host.pendingAnswers.delete(requestId);
					host.failureHandlers.delete(requestId);
					this.input(id, {type: 'abandon', id: requestId});
				});
			},
		};
	}

	/** Passes an input to a host's core; a paused process receives it when it resumes. */
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

	/** Kills the daemon's process. Its memory is lost; its target keeps running. */
	kill(id: string): void {
		const host = this.#host(id);
		host.decider = undefined;
		host.incarnation++;
		host.isPaused = false;
		host.inbox.length = 0;
		host.pendingAnswers.clear();
		for (const failBroken of host.failureHandlers.values()) {
			failBroken();
		}

		host.failureHandlers.clear();
		this.network.drop(id);
	}

	/** Starts the daemon with an empty memory. */
	start(id: string, seeds: readonly JoinRecord[] = []): void {
		const host = this.#host(id);
		const seed = this.random.below(0x7F_FF_FF_FF);
		host.incarnation++;
		host.decider = this.#options.createDecider === undefined
			? this.#createCore(host.options, seed, seeds)
			: this.#options.createDecider(host.options, seed, this.nowMs);
		this.#tick(host, host.incarnation);
		this.#announce(host, host.incarnation);
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

	/** Makes the target withdraw its announcement, or announce itself again. */
	setServing(id: string, serving: boolean): void {
		const host = this.#host(id);
		host.isSilent = !serving;
		if (serving) {
			this.#announceOnce(host);
		} else {
			this.input(id, {type: 'withdraw'});
		}
	}

	/** Kills the daemon and the target of a host, as a power loss does. */
	killHost(id: string): void {
		this.kill(id);
		this.#host(id).target?.kill();
	}

	restartHost(id: string): void {
		this.#host(id).target?.restart();
		this.start(id);
	}

	#addHost(options: HostOptions): void {
		const {id} = options;
		const host: Host = {
			options,
			target: options.target === undefined ? undefined : this.#createTarget(id, options.target),
			decider: undefined,
			isPaused: false,
			inbox: [],
			incarnation: 0,
			pendingAnswers: new Map(),
			failureHandlers: new Map(),
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

	#createCore({id, region, failureDomain}: HostOptions, seed: number, seeds: readonly JoinRecord[]): DaemonCore {
		return new DaemonCore({
			id, address: id, region, failureDomain, seed, seeds, ledgerCapacity: this.#options.ledgerCapacity,
		}, this.nowMs);
	}

	#createTarget(id: string, options: FakeTargetOptions): FakeTarget {
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
		host.pendingAnswers.set(requestId, answer => {
			host.failureHandlers.delete(requestId);
			finish({
				outcome: answer.outcome,
				reason: answer.reason,
				retryAfterMs: answer.retryAfterMs,
				digest: (answer.payload as FakeAnswer | undefined)?.digest,
				decidedMs: this.nowMs - arrivedMs,
			});
		});
		host.failureHandlers.set(requestId, () => {
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

	// Drops a result for an earlier daemon process. Defers a result that arrives while the core's outputs are still being
	// executed, as the core must not be called recursively.
	#onResult(id: string, runId: number, result: TargetResult): void {
		const host = this.#host(id);
		if (Math.floor(runId / RUN_IDS_PER_PROCESS) !== host.incarnation) {
			return;
		}

		const input: Input = {type: 'target', id: runId % RUN_IDS_PER_PROCESS, result};
		if (this.#stepDepth > 0) {
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

		host.pendingAnswers.set(requestId, answer => {
			host.failureHandlers.delete(requestId);
			done(answer.outcome === 'complete');
		});
		host.failureHandlers.set(requestId, () => {
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

		return Math.floor(runId / RUN_IDS_PER_PROCESS) === host.incarnation ? runId % RUN_IDS_PER_PROCESS : NO_CONTEXT;
	}

	#step(host: Host, decider: Decider, input: Input): void {
		this.#options.observer?.onInput?.(host.options.id, input);
		this.#stepDepth++;
		for (const output of decider.step(input, this.nowMs)) {
			if (host.decider === decider) {
				this.#options.observer?.onOutput?.(host.options.id, output);
				this.#execute(host, output);
			}
		}

		this.#stepDepth--;
	}

	#execute(host: Host, output: Output): void {
		const {id} = host.options;
		switch (output.type) {
			case 'respond': {
				const finish = host.pendingAnswers.get(output.id);
				host.pendingAnswers.delete(output.id);
				finish?.(output.answer);
				break;
			}

			case 'dispatch': {
				host.target?.startRun((host.incarnation * RUN_IDS_PER_PROCESS) + output.id, output.payload as FakeRequest);
				break;
			}

			case 'cancel': {
				host.target?.cancel((host.incarnation * RUN_IDS_PER_PROCESS) + output.id);
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
		const {incarnation: epoch} = host;
		this.platform.handle(host.options.id, request, {
			isUp: () => host.incarnation === epoch && host.decider !== undefined,
			send: reply => {
				this.input(host.options.id, {type: 'platform', reply});
			},
		});
	}

	#tick(host: Host, epoch: number): void {
		const tickMs = this.#options.tickMs ?? TICK_MS;
		this.scheduler.schedule(this.random.next() * tickMs, () => {
			this.#tickRepeatedly(host, epoch, tickMs);
		});
	}

	#tickRepeatedly(host: Host, epoch: number, tickMs: number): void {
		if (host.incarnation !== epoch) {
			return;
		}

		if (!host.isPaused) {
			this.input(host.options.id, {type: 'tick'});
		}

		this.scheduler.schedule(tickMs, () => {
			this.#tickRepeatedly(host, epoch, tickMs);
		});
	}

	// Repeats the target's announcement as long as the target and the daemon are up.
	#announce(host: Host, epoch: number): void {
		if (host.incarnation !== epoch || host.target === undefined) {
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
			throw new Error(`unknown host ${id}`);
		}

		return host;
	}
}
