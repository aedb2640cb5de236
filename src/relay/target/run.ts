import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {type Dispatcher} from 'undici';
import {type TargetSignals} from '../../mesh/index.js';
import {BodyCollector, StatusCheck} from '../../wire/index.js';
import {type HeaderNames} from '../adapter.js';
import {
	type AnswerHead, type Call, type FailureReason, MAX_INLINE_BODY_BYTES, type RefusalReason, BODY_WINDOW_BYTES,
} from '../call.js';
import {ChunkMerger} from '../chunkmerger.js';
import {type DecodeError} from '../error.js';
import {AnswerHeaders} from './answerheaders.js';
import {readTargetSignals} from './targetsignals.js';
import {type UnknownHeaders} from './unknownheaders.js';

/** Receives the events of one run at the target. */
export abstract class RunSink {
	abstract onHead(head: AnswerHead, body: Buffer, isWhole: boolean): void;
	abstract onChunk(bytes: Buffer, isLast: boolean): void;
	/** Called when the call has not run and never will. */
	abstract onNotRun(reason: RefusalReason): void;
	abstract onFailed(reason: FailureReason): void;
	/** Called when the target's connection has accepted this many bytes of the streamed request body. */
	abstract onBodyTaken(bytes: number): void;
	/** Called with what the target says of itself, before its answer is passed on. */
	abstract onSignals(signals: TargetSignals): void;
	/** Called with the load header of the answer. */
	abstract onLoad(load: string): void;
	abstract onInvalidSignals(error: DecodeError): void;
	/** Called with the name of a header that the platform defines and that nothing here reads, once for each name. */
	abstract onUnknownHeader(name: string): void;
}

/** What a run needs from the connection that it uses. */
export type RunConnection = {
	readonly unknownHeaders: UnknownHeaders;
	/** The bytes that the connection has received since it was opened. */
	readonly receivedBytes: () => number;
	/** Called when the connection ended before any part of the answer arrived. */
	readonly onLost: () => void;
	/** Called when the target answers without a length. */
	readonly onUnframed: () => void;
	/** @param isReusable whether the connection may carry another request */
	readonly release: (isReusable: boolean) => void;
};

/** The name for TLS, which isn't used here: without one the HTTP client checks each request's host header for an IPv6 address. */
const UNUSED_SERVERNAME = 'target';

/** The code of the HTTP client's error for a request that it can't write. */
const INVALID_REQUEST_CODE = 'UND_ERR_INVALID_ARG';

/** The statuses by which clients are told that their request has not run and never will. */
const PROMISE_STATUSES = new Set([408, 421, 429, 503]);

/** Limits what the target sends beside the body of an answer, in bytes: its head, and for each byte of the body what its framing may take. */
const MAX_HEAD_BYTES = 131_072;
const MAX_FRAMING_BYTES_PER_BODY_BYTE = 8;

/** One call running at the target. It handles undici's own events: its newer ones wrap these, and build objects for each answer. */
export class Run implements Dispatcher.DispatchHandler {
	readonly #call: Call;
	readonly #names: HeaderNames;
	readonly #sink: RunSink;
	readonly #connection: RunConnection;
	readonly #bodyStream: Readable | undefined;
	readonly #statusCheck = new StatusCheck();
	/** Set once the request is written to a connection. */
	#abortRequest: ((error: Error) => void) | undefined;
	#resumeAnswer: (() => void) | undefined;
	#head: AnswerHead | undefined;
	#fault: FailureReason | undefined;
	#notRunReason: RefusalReason | undefined;
	/** Whether the answer names the attempt that it belongs to. */
	#isNamed = false;
	/** The body as long as it may be small enough to be sent inline. */
	#inline: BodyCollector | undefined = new BodyCollector();
	/** Set once the body is streamed. */
	#merger: ChunkMerger | undefined;
	#bodyBytes = 0;
	/** What the connection had received before this request, in bytes. */
	#receivedBytesBefore: number;
	/** Why the connection ended before the answer did. */
	#lossCause: string | undefined;
	#unreportedBytes = 0;
	#isOver = false;
	#creditBytes = BODY_WINDOW_BYTES;

	constructor(call: Call, names: HeaderNames, sink: RunSink, connection: RunConnection) {
		this.#call = call;
		this.#names = names;
		this.#sink = sink;
		this.#connection = connection;
		this.#receivedBytesBefore = connection.receivedBytes();
		if (call.hasMoreBody) {
			this.#bodyStream = new Readable({
				read: () => {
					this.#reportTakenBytes();
				},
			});
			this.#bodyStream.push(call.body);
		}
	}

	options(): Dispatcher.DispatchOptions & {readonly servername: string} {
		const {
			template, attemptId, path, instance, leftMs, body, organisation,
		} = this.#call;
		const headers = [
			...template.headers,
			this.#names.attemptId,
			attemptId,
			this.#names.deadlineMs,
			String(Math.max(1, Math.floor(leftMs))),
			this.#names.callerService,
			template.callerService,
			this.#names.expectedInstance,
			instance,
			...(organisation === undefined ? [] : [this.#names.organisation, organisation]),
		];
		return {
			path, method: template.method, headers, body: this.#bodyStream ?? (body.length > 0 ? body : null), servername: UNUSED_SERVERNAME,
		};
	}

	/** What shows whether its answer was whole: the bytes of the body, whether the connection had carried another answer before, and why it was lost. */
	describe(): {readonly bodyBytes: number; readonly connection: 'new' | 'reused'; readonly cause?: string} {
		return {bodyBytes: this.#bodyBytes, connection: this.#isReused ? 'reused' : 'new', ...(this.#lossCause !== undefined && {cause: this.#lossCause})};
	}

	/** Sends another chunk of a streamed request body. */
	write(bytes: Buffer, isLast: boolean): void {
		if (this.#bodyStream === undefined || this.#isOver) {
			return;
		}

		if (bytes.length > 0) {
			this.#unreportedBytes += bytes.length;
			this.#bodyStream.push(bytes);
		}

		if (isLast) {
			this.#bodyStream.push(null);
		}
	}

	/** Adds flow-control credit: the receiver can accept this many more bytes of the answer. */
	grantCredit(bytes: number): void {
		this.#creditBytes += bytes;
		if (this.#creditBytes > 0) {
			this.#resumeAnswer?.();
		}
	}

	/** Ends the run if the target sends far more than an answer, such as a head without an end. */
	checkReceivedBytes(): void {
		const beside = this.#connection.receivedBytes() - this.#receivedBytesBefore - this.#bodyBytes;
		if (this.#isOver || beside <= MAX_HEAD_BYTES + (this.#bodyBytes * MAX_FRAMING_BYTES_PER_BODY_BYTE)) {
			return;
		}

		if (this.#notRunReason === undefined) {
			this.#fail('garbled');
		} else {
			this.#endNotRun(this.#notRunReason);
		}
	}

	/** Aborts the run; the target sees its connection close. */
	cancel(): void {
		if (!this.#isOver) {
			this.#abort('cancelled');
		}
	}

	onConnect(abort: (error?: Error) => void): void {
		this.#abortRequest = abort;
		// It may be another connection than the one that stood when the request was made.
		this.#receivedBytesBefore = this.#connection.receivedBytes();
		if (this.#isOver) {
			abort(new Error('cancelled'));
		}
	}

	onHeaders(status: number, rawHeaders: Buffer[], resume: () => void, reason: string): boolean {
		const kind = this.#statusCheck.kindOf(status);
		if (kind === 'invalid' && !this.#isOver) {
			this.#lossCause = `status ${status}`;
			this.#fail('garbled');
		}

		if (kind !== 'final') {
			return true;
		}

		this.#resumeAnswer = resume;
		const headers = new AnswerHeaders(reason, rawHeaders, this.#names);
		const {signature, length} = headers;
		this.#judge(status, headers);
		const isUnframed = length === undefined && !headers.isChunked && status !== 204 && status !== 304;
		// The body of a refusal is for nobody.
		if (isUnframed && this.#notRunReason === undefined && this.#call.template.method !== 'HEAD') {
			this.#connection.onUnframed();
			// The target may repeat an earlier answer late, and all bytes until the end of the connection would be the body.
			this.#fault ??= this.#isReused ? 'unframed' : undefined;
		}

		// An answer that doesn't show that this target made it says nothing of the target.
		const isGenuine = this.#fault === undefined && (signature !== undefined || this.#notRunReason === 'shed-by-target');
		this.#head = {
			status,
			headers: headers.forwarded,
			signature,
			lengthBytes: length === undefined ? undefined : Number(length),
			isUnframed,
			reached: [],
			isFailedBelow: false,
			signals: isGenuine ? this.#readSignals(headers) : undefined,
		};
		this.#reportUnknownHeaders(headers);
		if (this.#fault !== undefined) {
			this.#fail(this.#fault);
		}

		return true;
	}

	/** @returns whether the answer may go on; otherwise it is paused until it is resumed */
	onData(chunk: Buffer): boolean {
		this.#bodyBytes += chunk.length;
		if (this.#notRunReason !== undefined) {
			// The body of a refusal is for nobody.
			if (this.#bodyBytes > MAX_INLINE_BODY_BYTES) {
				this.#endNotRun(this.#notRunReason);
			}

			return true;
		}

		if (this.#inline === undefined) {
			this.#creditBytes -= chunk.length;
			this.#merger!.add(chunk);
		} else {
			this.#inline.add(chunk);
			if (this.#inline.length > MAX_INLINE_BODY_BYTES) {
				this.#startStreaming(this.#inline.toBuffer());
			}
		}

		return this.#creditBytes > 0;
	}

	onComplete(): void {
		if (this.#isOver) {
			return;
		}

		this.#merger?.flush();
		// If the target repeats an answer that names no attempt, nothing tells it from the answer to the next request.
		this.#end(this.#isNamed);
		if (this.#notRunReason !== undefined) {
			this.#sink.onNotRun(this.#notRunReason);
		} else if (this.#inline === undefined) {
			this.#sink.onChunk(Buffer.alloc(0), true);
		} else {
			this.#sink.onHead(this.#head!, this.#inline.toBuffer(), true);
		}
	}

	onError(error: Error): void {
		this.onUnsent(error);
	}

	/** Called with the HTTP client's error if it can't send the request, or if the connection ends before the answer does. */
	onUnsent(error: Error): void {
		if ((error as NodeJS.ErrnoException).code === INVALID_REQUEST_CODE && !this.#isOver) {
			this.#endNotRun('malformed');
		} else {
			this.#lossCause ??= error.message;
			this.#onLost();
		}
	}

	#startStreaming(first: Buffer): void {
		this.#inline = undefined;
		this.#creditBytes -= first.length;
		this.#merger = new ChunkMerger(chunk => {
			this.#sink.onChunk(chunk, false);
		});
		this.#sink.onHead(this.#head!, first, false);
	}

	#onLost(): void {
		if (this.#isOver) {
			return;
		}

		this.#end(false);
		if (this.#abortRequest === undefined) {
			this.#sink.onNotRun('unreachable');
		} else {
			if (this.#head === undefined) {
				this.#connection.onLost();
			}

			this.#sink.onFailed('broken');
		}
	}

	/** Whether the connection has carried another request before. */
	get #isReused(): boolean {
		return this.#receivedBytesBefore > 0;
	}

	// Sets why the answer is none, if it isn't.
	#judge(status: number, {signature, attemptId: echoedAttemptId, isNotRun, isEncoded, isMerged}: AnswerHeaders): void {
		this.#isNamed = echoedAttemptId === this.#call.attemptId;
		const isOfOther = echoedAttemptId !== undefined && echoedAttemptId !== this.#call.attemptId;
		// A target signs what it has run, and names the attempt: without that it may be of another.
		if (isOfOther || (signature !== undefined && echoedAttemptId === undefined) || (isMerged && this.#isReused)) {
			this.#fault = 'garbled';
		} else if ((isNotRun || status === 421) && !this.#isNamed && this.#isReused) {
			// It may be a repeated one that the target made for an earlier request.
			this.#fault = 'garbled';
		} else if (isNotRun || status === 421) {
			this.#notRunReason = status === 421 ? 'misdirected' : 'shed-by-target';
		} else if (status < 300 && (signature === undefined || echoedAttemptId === undefined || isEncoded)) {
			this.#fault = 'garbled';
		} else if (signature === undefined && (PROMISE_STATUSES.has(status) || (!this.#isNamed && this.#isReused))) {
			// To a client such a status says that the request has not run, which this answer doesn't; or it may belong to an earlier request.
			this.#fault = 'garbled';
		}
	}

	// The target's connection has accepted all chunks that were pushed so far.
	#reportTakenBytes(): void {
		if (this.#unreportedBytes > 0) {
			const bytes = this.#unreportedBytes;
			this.#unreportedBytes = 0;
			this.#sink.onBodyTaken(bytes);
		}
	}

	#readSignals({signals: values, load}: AnswerHeaders): TargetSignals | undefined {
		try {
			const signals = readTargetSignals(values, this.#names);
			this.#sink.onSignals(signals);
			if (load !== undefined) {
				this.#sink.onLoad(load);
			}

			return signals;
		} catch (error) {
			this.#sink.onInvalidSignals(error as DecodeError);
			return undefined;
		}
	}

	#abort(reason: string): void {
		this.#isOver = true;
		this.#abortRequest?.(new Error(reason));
		this.#end(false);
	}

	/** @param isReusable whether the connection may carry another request */
	#end(isReusable: boolean): void {
		this.#isOver = true;
		this.#bodyStream?.destroy();
		this.#merger?.close();
		this.#connection.release(isReusable);
	}

	#endNotRun(reason: RefusalReason): void {
		this.#abort(reason);
		this.#sink.onNotRun(reason);
	}

	#fail(reason: FailureReason): void {
		this.#abort(reason);
		this.#sink.onFailed(reason);
	}

	#reportUnknownHeaders({forwarded}: AnswerHeaders): void {
		for (let index = 0; index < forwarded.length; index += 2) {
			if (this.#connection.unknownHeaders.shouldReport(forwarded[index])) {
				this.#sink.onUnknownHeader(forwarded[index]);
			}
		}
	}
}
