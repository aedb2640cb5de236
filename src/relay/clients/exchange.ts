import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {
	Attempts, type LoadReport, type Route, type Priority, type RoutedService, chooseRetryAfterMs,
} from '../../mesh/index.js';
import {
	type AnswerHead, type Call, type CallHandle, CallSink, type CallTemplate, type FailureReason, type RefusalReason,
} from '../call.js';
import {type ExchangeContext} from './exchangecontext.js';
import {ResponseWriter} from './responsewriter.js';
import {RequestBody} from './requestbody.js';

/** Why a request ended without an answer from its target. */
type EndReason = RefusalReason | FailureReason | 'no-target' | 'overload' | 'timeout' | 'client-gone';

/** The properties of a request that its exchange is created with. */
export type ExchangeOptions = {
	readonly route: Route;
	/** The service that was chosen among those of the route. */
	readonly service: string;
	readonly attemptId: string;
	/** How long the client waits, in ms. */
	readonly leftMs: number;
	readonly template: CallTemplate;
	/** The call running on this host that waits for this request; undefined for a root request. */
	readonly parentCall: Call | undefined;
};

/** One client's request, from its arrival to its single final answer. */
export class Exchange extends CallSink {
	readonly route: Route;
	readonly service: string;
	readonly attemptId: string;
	readonly deadlineMs: number;
	readonly objectiveEndMs: number;
	readonly #context: ExchangeContext;
	readonly #request: IncomingMessage;
	readonly #responseWriter: ResponseWriter;
	readonly #body: RequestBody;
	readonly #attempts: Attempts;
	readonly #template: CallTemplate;
	readonly #arrivedMs: number;
	readonly #parentCall: Call | undefined;
	readonly #priority: Priority;
	readonly #routedService: RoutedService;
	#callHandle: CallHandle | undefined;
	#mayHaveRun = false;
	/** The status of an answer whose body is streamed. */
	#streamedStatus = 0;
	#isHeadSent = false;
	#isOver = false;

	constructor(context: ExchangeContext, request: IncomingMessage, response: ServerResponse, options: ExchangeOptions) {
		super();
		this.#context = context;
		this.#request = request;
		this.route = options.route;
		this.service = options.service;
		this.attemptId = options.attemptId;
		this.#body = new RequestBody(request);
		this.#responseWriter = new ResponseWriter(context, request, response, options.attemptId);
		this.#template = options.template;
		this.#parentCall = options.parentCall;
		this.#arrivedMs = context.clock.nowMs();
		this.#routedService = {route: this.route.name, service: this.service};
		this.#priority = this.#parentCall?.priority ?? context.loadShedder.priorityOf(this.#routedService, this.route.rank, this.attemptId, this.#arrivedMs);
		this.#attempts = new Attempts(context, {
			attemptId: this.attemptId, route: this.route, service: this.service, isForRetriedRun: this.#parentCall?.isRepeat === true, level: this.#priority.level,
		}, this);
		if (this.#parentCall !== undefined) {
			context.onNestedCall(this.#parentCall.attemptId, 'begun');
			context.loadShedder.recordReached(
				{route: this.#parentCall.template.route, service: this.#template.callerService},
				[this.service, ...context.loadShedder.reachedServices(this.#routedService)],
			);
		}

		this.deadlineMs = this.#arrivedMs + Math.min(options.leftMs, options.route.timeoutMs);
		this.objectiveEndMs = this.#arrivedMs + options.route.objectiveMs;
	}

	/** Whether the request is admitted. A nested call always is, because work for its root request has already been spent. */
	get isAdmitted(): boolean {
		return this.#parentCall !== undefined || this.#context.loadShedder.isAdmitted(this.#priority);
	}

	get socket(): Socket {
		return this.#request.socket;
	}

	/** Reads the body, or its first chunk if it is too large to send inline, then sends the request to a host. */
	start(hasBody: boolean, maxBodyBytes: number): void {
		if (!hasBody) {
			this.#sendToNextHost();
			return;
		}

		this.#body.read(maxBodyBytes, {
			onReady: () => {
				if (!this.#isOver) {
					this.#sendToNextHost();
				}
			},
			onChunk: (bytes, isLast) => {
				if (!this.#isOver && !this.#isHeadSent) {
					this.#callHandle?.write(bytes, isLast);
				}
			},
			onTooLarge: () => {
				this.#cancelCall();
				this.#responseWriter.disableKeepAlive();
				this.#endWithStatus(413, 'cancelled');
			},
		});
	}

	/** Ends the request if its deadline has passed. */
	checkTime(nowMs: number): void {
		if (!this.#isOver && nowMs >= this.deadlineMs) {
			const wasSent = this.#callHandle !== undefined || this.#mayHaveRun;
			if (this.#callHandle !== undefined) {
				this.#context.loadBalancer.onOutcome(this.#attempts.host, true, nowMs);
			}

			this.#cancelCall();
			if (wasSent) {
				this.#endWithStatus(504, 'timeout');
			} else {
				this.#refuse('timeout', 'overload');
			}
		}
	}

	/** Refuses the request because of overload, before anything is sent. */
	shed(): void {
		this.#refuse('overload', 'overload');
	}

	/** Ends the request with an error because the process stops before its answer arrives. */
	abort(): void {
		if (!this.#isOver) {
			this.#cancelCall();
			this.#endWithStatus(502, 'cancelled');
		}
	}

	/** Cancels the call because the client no longer waits for the answer. */
	onClientDisconnected(): void {
		if (!this.#isOver) {
			this.#finish();
			this.#cancelCall();
			this.#logEvent('client_gone', 'client-gone');
		}
	}

	override onAnswer(head: AnswerHead, body: Buffer, isWhole: boolean, report: LoadReport): void {
		const nowMs = this.#context.clock.nowMs();
		this.#recordReport(report, nowMs);
		if (isWhole) {
			this.#releaseHost();
		}

		this.#attempts.recordSignals(head.signals, nowMs);
		this.#context.loadBalancer.onOutcome(this.#attempts.host, head.status >= 500 && !head.isFailedBelow, nowMs);
		this.#context.loadShedder.recordReached(this.#routedService, head.reached);
		if (isWhole && head.status >= 500 && !head.isFailedBelow && this.#mayResend(nowMs)) {
			this.#mayHaveRun = true;
			this.#resend('target-error');
			return;
		}

		if (head.isUnframed && !this.#responseWriter.tryCloseAfterResponse()) {
			this.#cancelCall();
			this.#endWithStatus(502, 'unframed');
			return;
		}

		this.#isHeadSent = true;
		if (head.status >= 500) {
			this.#notifyParent();
		}

		this.#responseWriter.writeHead(head, isWhole ? body.length : undefined);
		if (isWhole) {
			this.#finish();
			this.#responseWriter.end(body);
			this.#countAnswer(head.status, nowMs);
		} else {
			this.#streamedStatus = head.status;
			this.onChunk(body, false);
		}
	}

	override onChunk(bytes: Buffer, isLast: boolean): void {
		if (this.#isOver) {
			return;
		}

		if (isLast) {
			this.#releaseHost();
			this.#finish();
			this.#responseWriter.end(bytes);
			this.#countAnswer(this.#streamedStatus, this.#context.clock.nowMs());
		} else {
			this.#responseWriter.write(bytes, () => {
				this.#callHandle?.grantCredit(bytes.length);
			});
		}
	}

	override onRefused(reason: RefusalReason, report: LoadReport | undefined): void {
		const nowMs = this.#context.clock.nowMs();
		const {host} = this.#attempts;
		this.#recordReport(report, nowMs);
		this.#releaseHost();
		const {loadBalancer, log} = this.#context;
		log.registry.count('owner_refusals', {service: this.service, reason});
		if (reason === 'stopping') {
			loadBalancer.markDraining(host, nowMs);
		} else if (reason === 'not-here' || reason === 'unreachable' || reason === 'misdirected') {
			loadBalancer.markUnreachable(host, nowMs);
		}

		const reachedTarget = reason === 'shed-by-target' || reason === 'misdirected';
		if (reason === 'shed-by-target') {
			loadBalancer.onOutcome(host, true, nowMs);
		}

		if (this.#isOver) {
			return;
		}

		const isForLoad = reason === 'full' || reason === 'evicted' || reason === 'expired' || reason === 'shed-by-target';
		const mayTryAnotherHost = !this.#body.isStreaming && this.#attempts.mayTryAnotherHost({isForLoad, reachedTarget}, nowMs);
		if (mayTryAnotherHost) {
			this.#sendToNextHost(reason);
		} else {
			this.#refuse(reason, report === undefined || reason === 'not-here' || reason === 'stopping' || reason === 'misdirected' ? 'transient' : 'overload');
		}
	}

	override onFailed(reason: FailureReason, report: LoadReport | undefined): void {
		const nowMs = this.#context.clock.nowMs();
		this.#recordReport(report, nowMs);
		this.#releaseHost();
		this.#context.loadBalancer.onOutcome(this.#attempts.host, true, nowMs);
		if (reason === 'link-lost') {
			this.#context.loadBalancer.markUnreachable(this.#attempts.host, nowMs);
		}

		if (this.#isOver) {
			return;
		}

		this.#mayHaveRun = true;
		if (this.#isHeadSent) {
			this.#finish();
			this.#responseWriter.resetConnection();
			this.#logEvent('answer_cut', reason);
		} else if (this.#mayResend(nowMs)) {
			this.#resend(reason);
		} else {
			this.#endWithStatus(reason === 'deadline' ? 504 : 502, reason);
		}
	}

	override onCredit(bytes: number): void {
		this.#body.grantCredit(bytes);
	}

	#sendToNextHost(previousRefusal?: string): void {
		const nowMs = this.#context.clock.nowMs();
		const entry = this.#attempts.chooseNextHost(nowMs);
		if (entry === undefined) {
			this.#refuse(previousRefusal === undefined ? 'no-target' : (previousRefusal as EndReason), 'transient');
			return;
		}

		this.#context.log.registry.count('sent', {service: this.service, host: entry.host});
		if (previousRefusal !== undefined) {
			this.#logEvent('placed_again', previousRefusal);
		}

		const call: Call = {
			template: this.#template,
			attemptId: this.attemptId,
			path: this.#request.url!,
			instance: entry.target!.id,
			leftMs: this.deadlineMs - nowMs,
			priority: this.#priority,
			rateLimitPerS: this.#attempts.rateLimitPerS,
			isNested: this.#parentCall !== undefined,
			body: this.#body.firstChunk,
			hasMoreBody: this.#body.isStreaming,
			isRepeat: this.#attempts.mayBeDuplicate,
		};
		this.#callHandle = undefined;
		const {count} = this.#attempts;
		const handle = this.#context.send(entry, call, this);
		// `send` can refuse synchronously, in which case the request has already been sent to another host.
		if (!this.#isOver && this.#attempts.count === count) {
			this.#callHandle = handle;
		}
	}

	#resend(reason: string): void {
		this.#context.log.registry.count('retries', {service: this.service, reason});
		this.#sendToNextHost(reason);
	}

	#mayResend(nowMs: number): boolean {
		return !this.#body.isStreaming && !this.#isOver && this.#attempts.mayResend(nowMs);
	}

	#recordReport(report: LoadReport | undefined, nowMs: number): void {
		if (report !== undefined && this.#attempts.count > 0) {
			this.#context.loadBalancer.onReport(this.#attempts.host, this.route.name, report, nowMs);
		}
	}

	#countAnswer(status: number, nowMs: number): void {
		const {registry} = this.#context.log;
		registry.count('answers', {service: this.service, status});
		registry.observe('answer', {service: this.service, rank: this.route.rank}, nowMs - this.#arrivedMs);
	}

	#releaseHost(): void {
		if (this.#attempts.count > 0) {
			this.#context.loadBalancer.onEnded(this.#attempts.host);
		}

		this.#callHandle = undefined;
	}

	#cancelCall(): void {
		const handle = this.#callHandle;
		if (handle !== undefined) {
			this.#releaseHost();
			handle.cancel();
		}
	}

	#refuse(reason: EndReason, cause: 'transient' | 'overload'): void {
		if (this.#mayHaveRun) {
			this.#endWithStatus(502, reason);
			return;
		}

		const nowMs = this.#context.clock.nowMs();
		const waitMs = chooseRetryAfterMs(cause, this.deadlineMs - nowMs, this.objectiveEndMs - nowMs, this.#context.random);
		this.#endWithStatus(503, reason, ['retry-after', (waitMs / 1000).toFixed(3)]);
	}

	#endWithStatus(status: number, reason: EndReason, headers: string[] = []): void {
		if (this.#isOver) {
			return;
		}

		this.#notifyParent();
		this.#finish();
		this.#logEvent(status === 503 ? 'refused' : 'failed', reason, {status});
		this.#context.log.registry.count(status === 503 ? 'refused' : 'failed', {service: this.service, rank: this.route.rank, reason});
		this.#responseWriter.sendEmpty(status, headers);
	}

	#notifyParent(): void {
		if (this.#parentCall !== undefined) {
			this.#context.onNestedFailure(this.#parentCall.attemptId);
		}
	}

	#finish(): void {
		this.#isOver = true;
		if (this.#parentCall !== undefined) {
			this.#context.onNestedCall(this.#parentCall.attemptId, 'ended');
		}

		this.#context.onEnded(this);
	}

	#logEvent(event: string, reason: string, extraFields: Record<string, string | number> = {}): void {
		const nowMs = this.#context.clock.nowMs();
		this.#context.log.event(event, {
			attempt: this.attemptId,
			route: this.route.name,
			service: this.service,
			reason,
			host: this.#attempts.host,
			tried: this.#attempts.count,
			ageMs: Math.round(nowMs - this.#arrivedMs),
			leftMs: Math.round(this.deadlineMs - nowMs),
			...extraFields,
		});
	}
}
