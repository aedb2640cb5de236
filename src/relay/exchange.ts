import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {
	type LoadReport, type Route, type Standing, comebackMs,
} from '../mesh/index.js';
import {
	type AnswerHead, type Call, type CallHandle, CallSink, type CallShape, type FailureReason, INLINE_BYTES, type RefusalReason, WINDOW_BYTES,
} from './call.js';
import {type EntryParts} from './entry.js';

/** Targets that a request may be refused by before it is refused itself. */
const MAX_REFUSALS = 4;
/** A second send needs this part of the objective still left: with less, it would be a token. */
const RESEND_SHARE = 0.3;
/** An answer counts as lost after this part of the objective, */
const OVERDUE_SHARE = 0.45;
/** and after so many times the target's usual time for the route. */
const OVERDUE_FACTOR = 6;

/** Why a request ended without its target's answer. */
type EndReason = RefusalReason | FailureReason | 'no-target' | 'overload' | 'timeout' | 'client-gone';

/** One client's request, from its arrival to its one final answer. */
export class Exchange extends CallSink {
	readonly route: Route;
	readonly service: string;
	readonly attemptId: string;
	readonly deadlineMs: number;
	readonly objectiveEndMs: number;
	readonly #parts: EntryParts;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #shape: CallShape;
	readonly #arrivedMs: number;
	readonly #parent: Call | undefined;
	readonly #standing: Standing;
	readonly #tried: string[] = [];
	#body: Buffer = Buffer.alloc(0);
	#isStreaming = false;
	#handle: CallHandle | undefined;
	#host = '';
	#sentMs = 0;
	#sends = 0;
	#refusals = 0;
	#creditBytes = WINDOW_BYTES;
	#mayHaveRun = false;
	#hasHead = false;
	#isOver = false;

	constructor(parts: EntryParts, request: IncomingMessage, response: ServerResponse, options: {route: Route; service: string; attemptId: string; leftMs: number; shape: CallShape; parent: Call | undefined; callerService: string}) {
		super();
		this.#parts = parts;
		this.#request = request;
		this.#response = response;
		this.route = options.route;
		this.service = options.service;
		this.attemptId = options.attemptId;
		this.#shape = options.shape;
		this.#parent = options.parent;
		this.#arrivedMs = parts.clock.nowMs();
		this.#standing = this.#parent?.standing ?? parts.shedding.standingOf({route: this.route.name, service: this.service}, this.route.rank, this.attemptId, this.#arrivedMs);
		if (this.#parent !== undefined) {
			parts.shedding.onReached({route: this.#parent.shape.route, service: options.callerService}, [this.service, ...parts.shedding.servicesOf({route: this.route.name, service: this.service})]);
		}

		this.deadlineMs = this.#arrivedMs + Math.min(options.leftMs, options.route.timeoutMs);
		this.objectiveEndMs = this.#arrivedMs + options.route.objectiveMs;
	}

	/** Whether it may go on: a nested call always does, what it belongs to is already paid for. */
	get isAdmitted(): boolean {
		return this.#parent !== undefined || this.#parts.shedding.isAdmitted(this.#standing);
	}

	get socket(): Socket {
		return this.#request.socket;
	}

	get isOver(): boolean {
		return this.#isOver;
	}

	/** Reads the body as far as it travels in one piece, then sends the request on. */
	begin(hasBody: boolean, maxBodyBytes: number): void {
		if (!hasBody) {
			this.#place();
			return;
		}

		const chunks: Buffer[] = [];
		let length = 0;
		this.#request.on('data', (chunk: Buffer) => {
			length += chunk.length;
			if (length > maxBodyBytes) {
				this.#reject(413);
			} else if (this.#isStreaming) {
				this.#pass(chunk, false);
			} else {
				chunks.push(chunk);
				if (length > INLINE_BYTES) {
					this.#body = Buffer.concat(chunks);
					this.#isStreaming = true;
					this.#creditBytes -= this.#body.length;
					this.#place();
				}
			}
		});
		this.#request.on('end', () => {
			if (this.#isStreaming) {
				this.#pass(Buffer.alloc(0), true);
			} else if (!this.#isOver) {
				this.#body = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
				this.#place();
			}
		});
	}

	/** Ends the request if its time is up, or sends it again if its answer must have been lost. */
	checkTime(nowMs: number): void {
		if (this.#isOver) {
			return;
		}

		if (nowMs < this.deadlineMs) {
			this.#checkOverdue(nowMs);
		} else {
			const wasOut = this.#handle !== undefined || this.#mayHaveRun;
			if (this.#handle !== undefined) {
				this.#parts.placement.onOutcome(this.#host, true, nowMs);
			}

			this.#withdraw();
			if (wasOut) {
				this.#fail(504, 'timeout');
			} else {
				this.#refuse('timeout', 'overload');
			}
		}
	}

	/** Refuses before anything was sent. */
	refuseForLoad(): void {
		this.#refuse('overload', 'overload');
	}

	/** The process stops before the answer came. */
	abort(): void {
		if (!this.#isOver) {
			this.#withdraw();
			this.#fail(502, 'cancelled');
		}
	}

	/** Nobody waits for the answer any longer. */
	onClientGone(): void {
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

		this.#parts.placement.onOutcome(this.#host, head.status >= 500 && !head.isFailedBelow, nowMs);
		this.#parts.shedding.onReached({route: this.route.name, service: this.service}, head.reached);
		if (isWhole && head.status >= 500 && !head.isFailedBelow && this.#mayResend(nowMs)) {
			this.#mayHaveRun = true;
			this.#resend('target-error');
			return;
		}

		if (head.isUnframed && !this.#parts.closeAfter(this.#response)) {
			this.#withdraw();
			this.#fail(502, 'unframed');
			return;
		}

		this.#hasHead = true;
		if (head.status >= 500) {
			this.#tellParent();
		}

		this.#writeHead(head, isWhole ? body.length : undefined);
		if (isWhole) {
			this.#finish();
			this.#response.end(body);
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
			this.#response.end(bytes);
		} else {
			this.#response.write(bytes, () => {
				this.#handle?.credit(bytes.length);
			});
		}
	}

	override onRefused(reason: RefusalReason, _retryAfterMs: number, report: LoadReport | undefined): void {
		const nowMs = this.#parts.clock.nowMs();
		const host = this.#host;
		this.#onReport(report, nowMs);
		this.#release();
		this.#refusals++;
		const {placement, log} = this.#parts;
		log.registry.count('owner_refusals', {service: this.service, reason});
		if (reason === 'stopping') {
			placement.onLeaving(host, nowMs);
		} else if (reason === 'not-here' || reason === 'unreachable' || reason === 'misdirected') {
			placement.suspect(host, nowMs);
		}

		const reachedTarget = reason === 'shed-by-target' || reason === 'misdirected';
		this.#sends += reachedTarget ? 1 : 0;
		if (reason === 'shed-by-target') {
			placement.onOutcome(host, true, nowMs);
		}

		if (this.#isOver) {
			return;
		}

		const mayGoOn = !this.#isStreaming && this.#refusals < MAX_REFUSALS && nowMs < this.deadlineMs && this.#hasRoomElsewhere(reason, nowMs)
			&& (!reachedTarget || (this.#sends < this.route.attempts && this.#spend(nowMs)));
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
		this.#parts.placement.onOutcome(this.#host, true, nowMs);
		if (reason === 'link-lost') {
			this.#parts.placement.suspect(this.#host, nowMs);
		}

		if (this.#isOver) {
			return;
		}

		this.#mayHaveRun = true;
		if (this.#hasHead) {
			this.#finish();
			// A reset: an answer without a length would look whole otherwise.
			this.#request.socket.resetAndDestroy();
			this.#note('answer_cut', reason);
		} else if (this.#mayResend(nowMs)) {
			this.#resend(reason);
		} else {
			this.#fail(reason === 'deadline' ? 504 : 502, reason);
		}
	}

	override onCredit(bytes: number): void {
		this.#creditBytes += bytes;
		if (this.#creditBytes > 0) {
			this.#request.resume();
		}
	}

	#writeHead(head: AnswerHead, wholeBytes: number | undefined): void {
		const headers = [...head.headers, this.#parts.names.attemptId, this.attemptId];
		if (head.signature !== undefined) {
			headers.push(this.#parts.names.signature, head.signature);
		}

		const length = this.#request.method === 'HEAD' ? head.lengthBytes : (wholeBytes ?? head.lengthBytes);
		if (head.isUnframed) {
			// It ends with the connection here, too: a length would call it whole.
			this.#response.useChunkedEncodingByDefault = false;
		} else if (length !== undefined && head.status !== 204 && head.status !== 304) {
			headers.push('content-length', String(length));
		}

		this.#parts.prepare(this.#response);
		this.#response.writeHead(head.status, headers);
	}

	#place(after?: string): void {
		const {clock, hosts, placement, budget} = this.#parts;
		const nowMs = clock.nowMs();
		const entry = placement.choose(hosts.serving(this.service), this.route.name, this.route.objectiveMs, this.#tried, nowMs);
		if (entry === undefined) {
			this.#refuse(after === undefined ? 'no-target' : (after as EndReason), 'transient');
			return;
		}

		if (after !== undefined) {
			this.#note('placed_again', after, {to: entry.host});
		}

		if (this.#sends === 0 && this.#refusals === 0) {
			budget.onFirst(this.service, nowMs);
		}

		this.#host = entry.host;
		this.#sentMs = nowMs;
		this.#tried.push(entry.host);
		placement.onSent(entry.host);
		const call: Call = {
			shape: this.#shape,
			attemptId: this.attemptId,
			path: this.#request.url!,
			instance: entry.target!.id,
			leftMs: this.deadlineMs - nowMs,
			objectiveLeftMs: this.objectiveEndMs - nowMs,
			standing: this.#standing,
			isNested: this.#parent !== undefined,
			body: this.#body,
			hasMore: this.#isStreaming,
			isRepeat: this.#sends > 0 || this.#parent?.isRepeat === true,
		};
		this.#handle = undefined;
		const sends = this.#tried.length;
		const handle = this.#parts.send(entry, call, this);
		// A refusal may have come, and the request been placed again, before `send` returned.
		if (!this.#isOver && this.#tried.length === sends) {
			this.#handle = handle;
		}
	}

	#checkOverdue(nowMs: number): void {
		const {placement} = this.#parts;
		if (this.#handle === undefined || this.#hasHead || this.#isStreaming) {
			return;
		}

		const overdueMs = Math.max(this.route.objectiveMs * OVERDUE_SHARE, placement.expectedMs(this.#host, this.route.name) * OVERDUE_FACTOR);
		if (nowMs - this.#sentMs > overdueMs && this.#mayResend(nowMs)) {
			placement.onOutcome(this.#host, true, nowMs);
			this.#withdraw();
			this.#mayHaveRun = true;
			this.#resend('overdue');
		}
	}

	#mayResend(nowMs: number): boolean {
		return this.route.repeatability === 'safe' && this.#parent?.isRepeat !== true && !this.#isStreaming && !this.#isOver
			&& this.#sends + 1 < this.route.attempts
			&& Math.min(this.deadlineMs, this.objectiveEndMs) - nowMs > this.route.objectiveMs * RESEND_SHARE
			&& this.#hasRoomElsewhere('broken', nowMs)
			&& this.#spend(nowMs);
	}

	#resend(reason: string): void {
		this.#sends++;
		this.#parts.log.registry.count('retries', {service: this.service, reason});
		this.#place(reason);
	}

	#spend(nowMs: number): boolean {
		const granted = this.#parts.budget.spend(this.service, nowMs);
		this.#parts.log.registry.count(granted ? 'budget_spent' : 'budget_denied', {service: this.service});
		return granted;
	}

	#hasRoomElsewhere(reason: RefusalReason | FailureReason, nowMs: number): boolean {
		const {hosts, placement} = this.#parts;
		const isLoad = reason === 'full' || reason === 'evicted' || reason === 'expired' || reason === 'shed-by-target';
		return hosts.serving(this.service).some(entry => !this.#tried.includes(entry.host) && !placement.isSuspect(entry.host, nowMs) && (!isLoad || placement.loadOf(entry, nowMs) < 1));
	}

	#pass(chunk: Buffer, isLast: boolean): void {
		if (this.#isOver || this.#hasHead) {
			return;
		}

		this.#creditBytes -= chunk.length;
		this.#handle?.write(chunk, isLast);
		if (this.#creditBytes <= 0 && !isLast) {
			this.#request.pause();
		}
	}

	#onReport(report: LoadReport | undefined, nowMs: number): void {
		if (report !== undefined && this.#host !== '') {
			this.#parts.placement.onReport(this.#host, this.route.name, report, nowMs);
		}
	}

	#release(): void {
		if (this.#host !== '') {
			this.#parts.placement.onEnded(this.#host);
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
			this.#fail(502, reason);
			return;
		}

		const nowMs = this.#parts.clock.nowMs();
		const waitMs = comebackMs(comeback, this.deadlineMs - nowMs, this.objectiveEndMs - nowMs, this.#parts.random);
		this.#end(503, reason, ['retry-after', (waitMs / 1000).toFixed(3)]);
	}

	#fail(status: 502 | 504, reason: EndReason): void {
		this.#end(status, reason, []);
	}

	#reject(status: 413): void {
		this.#withdraw();
		this.#response.shouldKeepAlive = false;
		this.#end(status, 'cancelled', []);
	}

	#end(status: number, reason: EndReason, headers: string[]): void {
		if (this.#isOver) {
			return;
		}

		this.#tellParent();
		this.#finish();
		this.#note(status === 503 ? 'refused' : 'failed', reason, {status});
		this.#parts.log.registry.count(status === 503 ? 'refused' : 'failed', {service: this.service, rank: this.route.rank, reason});
		this.#parts.prepare(this.#response);
		this.#response.writeHead(status, [...headers, this.#parts.names.attemptId, this.attemptId, 'content-length', '0']);
		this.#response.end();
	}

	#tellParent(): void {
		if (this.#parent !== undefined) {
			this.#parts.onFailedBelow(this.#parent.attemptId);
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
			host: this.#host,
			tried: this.#tried.length,
			ageMs: Math.round(nowMs - this.#arrivedMs),
			leftMs: Math.round(this.deadlineMs - nowMs),
			...more,
		});
	}
}
