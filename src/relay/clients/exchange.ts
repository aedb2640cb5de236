import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {
	Attempts, type LoadReport, type Route, type Priority, type RootRequest, chooseRetryAfterMs,
} from '../../mesh/index.js';
import {
	type AnswerHead, type CallHandle, CallSink, type FailureReason, type RefusalReason,
} from '../call.js';
import {createCall} from './createcall.js';
import {type ExchangeContext} from './exchangecontext.js';
import {ExchangeLog} from './exchangelog.js';
import {type ExchangeOptions} from './exchangeoptions.js';
import {type EndReason, judgeRefusal, recordRefusal} from './refusals.js';
import {ParentRun} from './parentrun.js';
import {QuarantineCheck} from './quarantinecheck.js';
import {ResponseWriter} from './responsewriter.js';
import {RequestBody} from './requestbody.js';
import {Withdrawal} from './withdrawal.js';

/** One client's request, from its arrival to its single final answer. */
export class Exchange extends CallSink {
	readonly route: Route;
	readonly service: string;
	readonly attemptId: string;
	readonly leftMs: number;
	readonly deadlineMs: number;
	readonly #context: ExchangeContext;
	readonly #request: IncomingMessage;
	readonly #responseWriter: ResponseWriter;
	readonly #body: RequestBody;
	readonly #attempts: Attempts;
	readonly #options: ExchangeOptions;
	readonly #arrivedMs: number;
	/** Until when the client waits, which may be longer than the route's timeout, in ms. */
	readonly #clientEndMs: number;
	readonly #parentRun: ParentRun | undefined;
	readonly #withdrawal = new Withdrawal();
	readonly #log: ExchangeLog;
	readonly #quarantineCheck: QuarantineCheck;
	#priority: Priority;
	readonly #routedService: RootRequest;
	#callHandle: CallHandle | undefined;
	/** Gives the token of the organisation's quota back. */
	#giveBack: (() => void) | undefined;
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
		this.#options = options;
		this.#arrivedMs = context.clock.nowMs();
		this.leftMs = options.leftMs;
		this.deadlineMs = this.#arrivedMs + Math.min(options.leftMs, options.route.timeoutMs);
		this.#clientEndMs = Number.isFinite(options.leftMs) ? this.#arrivedMs + options.leftMs : this.deadlineMs;
		this.#routedService = {route: this.route.name, service: this.service, organisation: options.organisation};
		this.#priority = this.#options.parentCall?.priority ?? context.loadShedder.priorityOf(this.#routedService, this.#options.template.rank, this.attemptId, this.#arrivedMs);
		this.#attempts = new Attempts(context, {
			attemptId: this.attemptId, route: this.route, service: this.service, isForRetriedRun: this.#options.parentCall?.isRepeat === true, level: this.#priority.level,
		}, this.deadlineMs);
		this.#parentRun = options.parentCall && new ParentRun(context, options.parentCall);
		this.#parentRun?.begin(this.#options.template.callerService, [this.service, ...context.loadShedder.reachedServices(this.#routedService).filter(service => service !== this.service)]);
		this.#log = new ExchangeLog(context, {
			attempt: this.attemptId, route: this.route.name, service: this.service, rank: this.#options.template.rank, organisation: this.#options.organisation, arrivedMs: this.#arrivedMs, deadlineMs: this.deadlineMs,
		}, this.#attempts);
		this.#quarantineCheck = new QuarantineCheck(context.quarantine, () => ({...options, path: request.url!, body: this.#body.firstChunk}));
	}

	/** Whether the request is admitted. A nested call always is, because work for its root request has already been spent. */
	get isAdmitted(): boolean {
		return this.#options.parentCall !== undefined || this.#context.loadShedder.isAdmitted(this.#priority);
	}

	get socket(): Socket {
		return this.#request.socket;
	}

	/** Whether a part of the answer is, or will be, written before it is whole: if it broke off, it would end the connection. */
	get mayBreakConnection(): boolean {
		return this.#isHeadSent && !this.#isOver && !this.#responseWriter.isHeld;
	}

	/** Reads the body, or its first chunk if it is too large to send inline, then sends the request to a host. */
	start(hasBody: boolean, maxBodyBytes: number, giveBack?: () => void): void {
		this.#giveBack = giveBack;
		if (!hasBody) {
			this.#sendOrWait();
			return;
		}

		this.#body.read(maxBodyBytes, {
			onReady: () => {
				if (!this.#isOver) {
					this.#sendOrWait();
				}
			},
			onChunk: (bytes, isLast) => {
				if (!this.#isOver) {
					this.#callHandle?.write(bytes, isLast);
				}
			},
			onTooLarge: () => {
				this.#cancelCall();
				this.#responseWriter.tryCloseAfterResponse();
				this.#endWithStatus(413, 'cancelled');
			},
		});
	}

	/** Starts the request after it was held. */
	resume(): void {
		this.#priority = this.#context.loadShedder.priorityOf(this.#routedService, this.#options.template.rank, this.attemptId, this.#context.clock.nowMs());
		if (this.isAdmitted) {
			this.#sendOrWait();
		} else {
			this.shed();
		}
	}

	/** Ends the request if its deadline has passed. */
	checkTime(nowMs: number): void {
		if (!this.#isOver && nowMs >= this.deadlineMs && !this.#withdrawal.isPending(this.#callHandle, nowMs)) {
			if (this.#callHandle !== undefined) {
				this.#context.loadBalancer.onOutcome(this.#attempts.host, true, nowMs);
			}

			if (this.#cancelCall()) {
				this.#refuse('timeout', 'overload');
			} else {
				this.#endWithStatus(504, 'timeout');
			}
		}
	}

	/** Refuses the request because of overload, before anything is sent. */
	shed(): void {
		this.#refuse('overload', 'overload');
	}

	/** Refuses the request because its organisation is over its quota. */
	deny(retryAfterMs: number): void {
		this.#endWithStatus(429, 'quota', ['retry-after', (retryAfterMs / 1000).toFixed(3)]);
	}

	/** Ends the request with an error because the process stops before its answer arrives. */
	abort(): void {
		if (!this.#isOver) {
			this.#cancelCall();
			this.#refuse('cancelled', 'transient');
		}
	}

	/** Cancels the call because the client no longer waits for the answer. */
	onClientDisconnected(): void {
		if (!this.#isOver) {
			this.#finish();
			this.#cancelCall();
			this.#responseWriter.tryDiscard();
			this.#log.event('client_gone', 'client-gone');
		}
	}

	override onAnswer(head: AnswerHead, body: Buffer, isWhole: boolean, report: LoadReport): void {
		const nowMs = this.#context.clock.nowMs();
		this.#attempts.recordReport(report, nowMs);
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
			this.#parentRun?.fail();
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
		if (!this.#isOver && isLast) {
			this.#releaseHost();
			this.#finish();
			this.#responseWriter.end(bytes);
			this.#countAnswer(this.#streamedStatus, this.#context.clock.nowMs());
		} else if (!this.#isOver) {
			this.#responseWriter.write(bytes, () => {
				this.#callHandle?.grantCredit(bytes.length);
			});
		}
	}

	override onRefused(reason: RefusalReason, report: LoadReport | undefined): void {
		const nowMs = this.#context.clock.nowMs();
		const {host} = this.#attempts;
		this.#attempts.recordReport(report, nowMs);
		this.#releaseHost();
		this.#context.log.registry.count('owner_refusals', {service: this.service, reason});
		recordRefusal(this.#context.loadBalancer, host, reason, nowMs);
		if (this.#isOver) {
			return;
		}

		if (reason === 'quarantined') {
			this.#refuse('quarantined', 'transient', this.#quarantineCheck.leftMs(nowMs));
		} else if (!this.#body.isStreaming && this.#attempts.mayTryAnotherHost(judgeRefusal(reason), nowMs)) {
			this.#sendToNextHost(reason);
		} else {
			this.#refuse(reason, report === undefined || reason === 'not-here' || reason === 'stopping' || reason === 'misdirected' ? 'transient' : 'overload');
		}
	}

	override onFailed(reason: FailureReason, report: LoadReport | undefined): void {
		const nowMs = this.#context.clock.nowMs();
		this.#attempts.recordReport(report, nowMs);
		this.#releaseHost();
		this.#context.loadBalancer.onOutcome(this.#attempts.host, true, nowMs);
		if (reason === 'crashed') {
			this.#attempts.recordCrash();
			this.#quarantineCheck.onCrashed();
		} else if (reason === 'link-lost') {
			this.#context.loadBalancer.markUnreachable(this.#attempts.host, nowMs);
		}

		if (this.#isOver) {
			return;
		}

		this.#mayHaveRun = true;
		if (!this.#isHeadSent && this.#mayResend(nowMs)) {
			this.#resend(reason);
		} else {
			this.#endWithStatus(reason === 'deadline' ? 504 : 502, reason);
		}
	}

	override onCredit(bytes: number): void {
		this.#body.grantCredit(bytes);
	}

	#sendOrWait(): void {
		if (!this.#context.lastsUntil(this.deadlineMs)) {
			this.#refuse('stopping', 'transient');
			return;
		}

		if (this.#context.tryDefer(this, () => {
			this.#sendOrWait();
		})) {
			this.#log.event('request_deferred', 'previous-answer');
			return;
		}

		const decision = this.#options.parentCall === undefined && !this.#body.isStreaming ? this.#context.heldRequests?.receive(this, this.#body.firstChunk.length) : undefined;
		if (typeof decision === 'number') {
			this.#refuse('no-chance', 'overload', decision);
		} else if (decision !== 'held') {
			this.#sendToNextHost();
		}
	}

	#sendToNextHost(previousRefusal?: string): void {
		const nowMs = this.#context.clock.nowMs();
		if (this.#quarantineCheck.verdictAt(nowMs) === 'refuse') {
			this.#refuse('quarantined', 'transient', this.#quarantineCheck.leftMs(nowMs));
			return;
		}

		const entry = this.#attempts.chooseNextHost(nowMs, this.#quarantineCheck.placementKey);
		if (entry === undefined) {
			this.#refuse(previousRefusal === undefined ? 'no-target' : (previousRefusal as EndReason), 'transient');
			return;
		}

		this.#context.log.registry.count('sent', {service: this.service, host: entry.host});
		if (previousRefusal !== undefined) {
			this.#log.event('placed_again', previousRefusal);
		}

		const call = createCall(this.#options, {
			path: this.#request.url!, instance: entry.target!.id, priority: this.#priority, attempts: this.#attempts, body: this.#body, leftMs: this.deadlineMs - nowMs,
			objectiveLeftMs: ((this.#options.parentCall && this.#context.findObjectiveEndMs(this.#options.parentCall.attemptId)) ?? (this.#arrivedMs + this.route.objectiveMs)) - nowMs,
		});
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

	#countAnswer(status: number, nowMs: number): void {
		this.#log.answered(status, nowMs);
		this.#context.heldRequests?.onAnswered(this, status);
	}

	#releaseHost(): void {
		this.#attempts.onEnded();
		this.#callHandle = undefined;
	}

	/** @returns whether it is certain that the request hasn't run and never will */
	#cancelCall(): boolean {
		const handle = this.#callHandle;
		if (handle !== undefined) {
			this.#releaseHost();
			this.#mayHaveRun ||= !handle.cancel();
		}

		return !this.#mayHaveRun;
	}

	#refuse(reason: EndReason, cause: 'transient' | 'overload', afterMs?: number): void {
		if (this.#mayHaveRun) {
			this.#endWithStatus(502, reason);
			return;
		}

		const nowMs = this.#context.clock.nowMs();
		const waitMs = afterMs ?? chooseRetryAfterMs(cause, this.#clientEndMs - nowMs, this.#context.random);
		this.#endWithStatus(503, reason, ['retry-after', (waitMs / 1000).toFixed(3)]);
	}

	#endWithStatus(status: number, reason: EndReason, headers: string[] = []): void {
		if (this.#isOver) {
			return;
		}

		if (this.#isHeadSent && !this.#responseWriter.tryDiscard()) {
			this.#cutAnswer(reason);
			return;
		}

		this.#parentRun?.fail();
		this.#finish();
		this.#log.ended(status, reason, reason === 'quarantined' ? {fingerprint: this.#quarantineCheck.fingerprint} : {});
		this.#context.refusalCounts.record(this.#options.organisation, reason, this.#attempts.host);
		this.#responseWriter.sendEmpty(status, headers);
	}

	/** Ends a request whose answer has begun: it must not look complete. The reset comes first, so that what waits behind it isn't started. */
	#cutAnswer(reason: EndReason): void {
		this.#parentRun?.fail();
		this.#responseWriter.resetConnection();
		this.#finish();
		this.#log.event('answer_cut', reason);
	}

	#finish(): void {
		this.#isOver = true;
		this.#body.drop();
		if (!this.#mayHaveRun && !this.#isHeadSent && this.#callHandle === undefined) {
			this.#giveBack?.();
		}

		this.#parentRun?.end();
		this.#context.heldRequests?.remove(this);
		this.#context.onEnded(this);
	}
}
