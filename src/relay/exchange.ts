import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {
	Attempts, type LoadReport, type Route, type Priority, type RoutedService, chooseRetryAfterMs,
} from '../mesh/index.js';
import {
	type AnswerHead, type Call, type CallHandle, CallSink, type CallTemplate, type FailureReason, type RefusalReason,
} from './call.js';
import {type ExchangeContext} from './requestserver.js';
import {ResponseWriter} from './responsewriter.js';
import {RequestBody} from './requestbody.js';

/** Why a request ended without its target's answer. */
type EndReason = RefusalReason | FailureReason | 'no-target' | 'overload' | 'timeout' | 'client-gone';

/** What a request asks for. */
export type ExchangeOptions = {
	readonly route: Route;
	/** The one of the route's services that was chosen. */
	readonly service: string;
	readonly attemptId: string;
	/** How long the client waits, in ms. */
	readonly leftMs: number;
	readonly template: CallTemplate;
	/** The run on this host that waits for it. */
	readonly parentCall: Call | undefined;
};

/** One client's request, from its arrival to its one final answer. */
export class Exchange extends CallSink {
	readonly route: Route;
	readonly service: string;
	readonly attemptId: string;
	readonly deadlineMs: number;
	readonly objectiveEndMs: number;
	readonly #parts: ExchangeContext;
	readonly #request: IncomingMessage;
	readonly #reply: ResponseWriter;
	readonly #body: RequestBody;
	readonly #attempts: Attempts;
	readonly #shape: CallTemplate;
	readonly #arrivedMs: number;
	readonly #parent: Call | undefined;
	readonly #standing: Priority;
	readonly #way: RoutedService;
	#handle: CallHandle | undefined;
	#mayHaveRun = false;
	#hasHead = false;
	#isOver = false;

	constructor(parts: ExchangeContext, request: IncomingMessage, response: ServerResponse, options: ExchangeOptions) {
		super();
		this.#parts = parts;
		this.#request = request;
		this.route = options.route;
		this.service = options.service;
		this.attemptId = options.attemptId;
		this.#body = new RequestBody(request);
		this.#reply = new ResponseWriter(parts, request, response, options.attemptId);
		this.#shape = options.template;
		this.#parent = options.parentCall;
		this.#arrivedMs = parts.clock.nowMs();
		this.#way = {route: this.route.name, service: this.service};
		this.#standing = this.#parent?.priority ?? parts.loadShedder.priorityOf(this.#way, this.route.rank, this.attemptId, this.#arrivedMs);
		this.#attempts = new Attempts(parts, {
			attemptId: this.attemptId, route: this.route, service: this.service, isForRetriedRun: this.#parent?.isRepeat === true, level: this.#standing.level,
		}, this);
		if (this.#parent !== undefined) {
			parts.loadShedder.recordReached({route: this.#parent.template.route, service: this.#shape.callerService}, [this.service, ...parts.loadShedder.reachedServices(this.#way)]);
		}

		this.deadlineMs = this.#arrivedMs + Math.min(options.leftMs, options.route.timeoutMs);
		this.objectiveEndMs = this.#arrivedMs + options.route.objectiveMs;
	}

	/** Whether it may go on: a nested call always does, what it belongs to is already paid for. */
	get isAdmitted(): boolean {
		return this.#parent !== undefined || this.#parts.loadShedder.isAdmitted(this.#standing);
	}

	get socket(): Socket {
		return this.#request.socket;
	}

	/** Reads the body as far as it travels in one piece, then sends the request on. */
	start(hasBody: boolean, maxBodyBytes: number): void {
		if (!hasBody) {
			this.#place();
			return;
		}

		this.#body.read(maxBodyBytes, {
			onReady: () => {
				if (!this.#isOver) {
					this.#place();
				}
			},
			onChunk: (bytes, isLast) => {
				if (!this.#isOver && !this.#hasHead) {
					this.#handle?.write(bytes, isLast);
				}
			},
			onTooLarge: () => {
				this.#withdraw();
				this.#reply.disableKeepAlive();
				this.#end(413, 'cancelled');
			},
		});
	}

	/** Ends the request if its time is up. */
	checkTime(nowMs: number): void {
		if (!this.#isOver && nowMs >= this.deadlineMs) {
			const wasOut = this.#handle !== undefined || this.#mayHaveRun;
			if (this.#handle !== undefined) {
				this.#parts.loadBalancer.onOutcome(this.#attempts.host, true, nowMs);
			}

			this.#withdraw();
			if (wasOut) {
				this.#end(504, 'timeout');
			} else {
				this.#refuse('timeout', 'overload');
			}
		}
	}

	/** Refuses before anything was sent. */
	shed(): void {
		this.#refuse('overload', 'overload');
	}

	/** The process stops before the answer came. */
	abort(): void {
		if (!this.#isOver) {
			this.#withdraw();
			this.#end(502, 'cancelled');
		}
	}

	/** Nobody waits for the answer any longer. */
	onClientDisconnected(): void {
		if (!this.#isOver) {
			this.#finish();
			this.#withdraw();
			this.#note('client_gone', 'client-gone');
		}
	}

	override onAnswer(head: AnswerHead, body: Buffer, isWhole: boolean, report: LoadReport): void {
		const nowMs = this.#parts.clock.nowMs();
		this.#onReport(report, nowMs);
		if (isWhole) {
			this.#release();
		}

		this.#parts.loadBalancer.onOutcome(this.#attempts.host, head.status >= 500 && !head.isFailedBelow, nowMs);
		this.#parts.loadShedder.recordReached(this.#way, head.reached);
		if (isWhole && head.status >= 500 && !head.isFailedBelow && this.#mayResend(nowMs)) {
			this.#mayHaveRun = true;
			this.#resend('target-error');
			return;
		}

		if (head.isUnframed && !this.#reply.tryCloseAfterResponse()) {
			this.#withdraw();
			this.#end(502, 'unframed');
			return;
		}

		this.#hasHead = true;
		if (head.status >= 500) {
			this.#tellParent();
		}

		this.#reply.writeHead(head, isWhole ? body.length : undefined);
		if (isWhole) {
			this.#finish();
			this.#reply.end(body);
			const {registry} = this.#parts.log;
			registry.count('answers', {service: this.service, status: head.status});
			registry.observe('answer', {service: this.service, rank: this.route.rank}, nowMs - this.#arrivedMs);
		} else {
			this.onChunk(body, false);
		}
	}

	override onChunk(bytes: Buffer, isLast: boolean): void {
		if (this.#isOver) {
			return;
		}

		if (isLast) {
			this.#release();
			this.#finish();
			this.#reply.end(bytes);
		} else {
			this.#reply.write(bytes, () => {
				this.#handle?.grantCredit(bytes.length);
			});
		}
	}

	override onRefused(reason: RefusalReason, report: LoadReport | undefined): void {
		const nowMs = this.#parts.clock.nowMs();
		const {host} = this.#attempts;
		this.#onReport(report, nowMs);
		this.#release();
		const {loadBalancer: placement, log} = this.#parts;
		log.registry.count('owner_refusals', {service: this.service, reason});
		if (reason === 'stopping') {
			placement.markDraining(host, nowMs);
		} else if (reason === 'not-here' || reason === 'unreachable' || reason === 'misdirected') {
			placement.markUnreachable(host, nowMs);
		}

		const reachedTarget = reason === 'shed-by-target' || reason === 'misdirected';
		if (reason === 'shed-by-target') {
			placement.onOutcome(host, true, nowMs);
		}

		if (this.#isOver) {
			return;
		}

		const isForLoad = reason === 'full' || reason === 'evicted' || reason === 'expired' || reason === 'shed-by-target';
		const mayGoOn = !this.#body.isStreaming && this.#attempts.mayTryAnotherHost({isForLoad, reachedTarget}, nowMs);
		if (mayGoOn) {
			this.#place(reason);
		} else {
			this.#refuse(reason, report === undefined || reason === 'not-here' || reason === 'stopping' || reason === 'misdirected' ? 'transient' : 'overload');
		}
	}

	override onFailed(reason: FailureReason, report: LoadReport | undefined): void {
		const nowMs = this.#parts.clock.nowMs();
		this.#onReport(report, nowMs);
		this.#release();
		this.#parts.loadBalancer.onOutcome(this.#attempts.host, true, nowMs);
		if (reason === 'link-lost') {
			this.#parts.loadBalancer.markUnreachable(this.#attempts.host, nowMs);
		}

		if (this.#isOver) {
			return;
		}

		this.#mayHaveRun = true;
		if (this.#hasHead) {
			this.#finish();
			this.#reply.resetConnection();
			this.#note('answer_cut', reason);
		} else if (this.#mayResend(nowMs)) {
			this.#resend(reason);
		} else {
			this.#end(reason === 'deadline' ? 504 : 502, reason);
		}
	}

	override onCredit(bytes: number): void {
		this.#body.grantCredit(bytes);
	}

	#place(after?: string): void {
		const nowMs = this.#parts.clock.nowMs();
		const entry = this.#attempts.chooseNextHost(nowMs);
		if (entry === undefined) {
			this.#refuse(after === undefined ? 'no-target' : (after as EndReason), 'transient');
			return;
		}

		if (after !== undefined) {
			this.#note('placed_again', after);
		}

		const call: Call = {
			template: this.#shape,
			attemptId: this.attemptId,
			path: this.#request.url!,
			instance: entry.target!.id,
			leftMs: this.deadlineMs - nowMs,
			priority: this.#standing,
			isNested: this.#parent !== undefined,
			body: this.#body.firstChunk,
			hasMoreBody: this.#body.isStreaming,
			isRepeat: this.#attempts.mayBeDuplicate,
		};
		this.#handle = undefined;
		const {count} = this.#attempts;
		const handle = this.#parts.send(entry, call, this);
		// A refusal may have come, and the request been placed again, before `send` returned.
		if (!this.#isOver && this.#attempts.count === count) {
			this.#handle = handle;
		}
	}

	#resend(reason: string): void {
		this.#parts.log.registry.count('retries', {service: this.service, reason});
		this.#place(reason);
	}

	#mayResend(nowMs: number): boolean {
		return !this.#body.isStreaming && !this.#isOver && this.#attempts.mayResend(nowMs);
	}

	#onReport(report: LoadReport | undefined, nowMs: number): void {
		if (report !== undefined && this.#attempts.count > 0) {
			this.#parts.loadBalancer.onReport(this.#attempts.host, this.route.name, report, nowMs);
		}
	}

	#release(): void {
		if (this.#attempts.count > 0) {
			this.#parts.loadBalancer.onEnded(this.#attempts.host);
		}

		this.#handle = undefined;
	}

	#withdraw(): void {
		const handle = this.#handle;
		if (handle !== undefined) {
			this.#release();
			handle.cancel();
		}
	}

	#refuse(reason: EndReason, comeback: 'transient' | 'overload'): void {
		if (this.#mayHaveRun) {
			this.#end(502, reason);
			return;
		}

		const nowMs = this.#parts.clock.nowMs();
		const waitMs = chooseRetryAfterMs(comeback, this.deadlineMs - nowMs, this.objectiveEndMs - nowMs, this.#parts.random);
		this.#end(503, reason, ['retry-after', (waitMs / 1000).toFixed(3)]);
	}

	#end(status: number, reason: EndReason, headers: string[] = []): void {
		if (this.#isOver) {
			return;
		}

		this.#tellParent();
		this.#finish();
		this.#note(status === 503 ? 'refused' : 'failed', reason, {status});
		this.#parts.log.registry.count(status === 503 ? 'refused' : 'failed', {service: this.service, rank: this.route.rank, reason});
		this.#reply.sendEmpty(status, headers);
	}

	#tellParent(): void {
		if (this.#parent !== undefined) {
			this.#parts.onNestedFailure(this.#parent.attemptId);
		}
	}

	#finish(): void {
		this.#isOver = true;
		this.#parts.onEnded(this);
	}

	#note(event: string, reason: string, more: Record<string, string | number> = {}): void {
		const nowMs = this.#parts.clock.nowMs();
		this.#parts.log.event(event, {
			attempt: this.attemptId,
			route: this.route.name,
			service: this.service,
			reason,
			host: this.#attempts.host,
			tried: this.#attempts.count,
			ageMs: Math.round(nowMs - this.#arrivedMs),
			leftMs: Math.round(this.deadlineMs - nowMs),
			...more,
		});
	}
}
