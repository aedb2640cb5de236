import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {
	Client, type Dispatcher, buildConnector,
} from 'undici';
import {IdleConnectionLimit} from '../mesh/index.js';
import {HOP_BY_HOP_HEADERS} from '../wire/index.js';
import {type HeaderNames} from './adapter.js';
import {
	type AnswerHead, type Call, type FailureReason, MAX_INLINE_BODY_BYTES, type RefusalReason, BODY_WINDOW_BYTES,
} from './call.js';
import {type Address} from './settings.js';

/** The timeout for opening a connection to the target, in ms; the target is on the same host. */
const CONNECT_TIMEOUT_MS = 1000;
/** The timeout of a health check, in ms; it waits for a slot like any other request. */
const PROBE_TIMEOUT_MS = 1000;
/** How long connections aren't reused after the target sent bytes that belong to no request, in ms. */
const NO_REUSE_MS = 5000;

/** The largest header block accepted from the target, in bytes. */
const MAX_HEADER_BYTES = 65_536;

/** Receives the events of one run at the target. */
export abstract class RunSink {
	abstract onHead(head: AnswerHead, body: Buffer, isWhole: boolean): void;
	abstract onChunk(bytes: Buffer, isLast: boolean): void;
	/** Called when the call has not run and never will. */
	abstract onNotRun(reason: RefusalReason): void;
	abstract onFailed(reason: FailureReason): void;
	/** Called when the target's connection has accepted this many bytes of the streamed request body. */
	abstract onBodyTaken(bytes: number): void;
}

/** A pool of connections to the target beside this daemon; each carries one request at a time. */
export class TargetClient {
	readonly #names: HeaderNames;
	readonly #idle: Connection[] = [];
	readonly #nowMs: () => number;
	readonly #origin: string;
	readonly #idleLimit = new IdleConnectionLimit();
	#noReuseUntilMs = 0;
	#generation = 0;

	constructor(address: Address, names: HeaderNames, nowMs: () => number) {
		this.#origin = originOf(address);
		this.#names = names;
		this.#nowMs = nowMs;
	}

	/** Closes all idle connections, and those in use once their request ends, because the target was replaced. */
	discardConnections(): void {
		this.#generation++;
		this.#destroyIdle();
	}

	/** Sends one health check to the target. @returns its id and its load header, if it answers 200 with both */
	async probe(path: string): Promise<{id: string; load: string} | undefined> {
		const client = new Client(this.#origin);
		try {
			const response = await client.request({method: 'GET', path, signal: AbortSignal.timeout(PROBE_TIMEOUT_MS)});
			await response.body.dump();
			const id = response.headers[this.#names.instance];
			const load = response.headers[this.#names.load];
			return response.statusCode === 200 && typeof id === 'string' && typeof load === 'string' ? {id, load} : undefined;
		} finally {
			void client.destroy();
		}
	}

	run(call: Call, sink: RunSink): Run {
		const connection = this.#takeIdle() ?? this.#openConnection();
		const {client} = connection;
		const idleMs = this.#nowMs() - connection.idleSinceMs;
		const generation = this.#generation;
		const run = new Run(call, this.#names, sink, {
			wasReset: () => connection.wasReset,
			onLost: () => {
				if (Number.isFinite(idleMs)) {
					this.#idleLimit.recordLoss(idleMs, this.#nowMs());
				}
			},
			release: isReusable => {
				this.#release(connection, isReusable && generation === this.#generation);
			},
		});
		try {
			client.dispatch(run.options(), run);
		} catch (error) {
			run.onResponseError(undefined, error as Error);
		}

		return run;
	}

	/** Takes the most recently used idle connection, if it hasn't been idle for too long. */
	#takeIdle(): Connection | undefined {
		const nowMs = this.#nowMs();
		const last = this.#idle.at(-1);
		// The other connections in the stack have been idle even longer.
		if (last !== undefined && !this.#idleLimit.allows(nowMs - last.idleSinceMs, nowMs)) {
			this.#destroyIdle();
		}

		return this.#idle.pop();
	}

	#openConnection(): Connection {
		const connection = {wasReset: false, idleSinceMs: Number.POSITIVE_INFINITY};
		const client = new Client(this.#origin, {
			pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: markResets(connection), maxHeaderSize: MAX_HEADER_BYTES,
		});
		client.on('disconnect', (_origin, _targets, error) => {
			// The target sent bytes that belong to no request: a surplus answer, or data that isn't HTTP.
			if (error.name === 'HTTPParserError') {
				this.#suspendReuse();
			}
		});
		return Object.assign(connection, {client});
	}

	#suspendReuse(): void {
		this.#noReuseUntilMs = this.#nowMs() + NO_REUSE_MS;
		this.#destroyIdle();
	}

	#destroyIdle(): void {
		for (const {client} of this.#idle.splice(0)) {
			void client.destroy();
		}
	}

	#release(connection: Connection, isReusable: boolean): void {
		const {client} = connection;
		if (!isReusable) {
			void client.destroy();
		} else if (this.#nowMs() < this.#noReuseUntilMs) {
			void client.close();
		} else {
			connection.idleSinceMs = this.#nowMs();
			this.#idle.push(connection);
		}
	}
}

/** What a run needs from the connection that it uses. */
type RunConnection = {
	readonly wasReset: () => boolean;
	/** Called when the connection ended before any part of the answer arrived. */
	readonly onLost: () => void;
	/** @param isReusable whether the connection may carry another request */
	readonly release: (isReusable: boolean) => void;
};

type Connection = {
	readonly client: Client;
	wasReset: boolean;
	/** When the connection became idle, in ms; infinite for one that has carried no request yet. */
	idleSinceMs: number;
};

// Marks connections that end in a reset: the HTTP client takes an answer without a length as complete even then.
function markResets(connection: {wasReset: boolean}): buildConnector.connector {
	const connect = buildConnector({timeout: CONNECT_TIMEOUT_MS});
	return (options, callback) => {
		connect(options, (...result) => {
			const [error, socket] = result;
			connection.wasReset = false;
			if (error === null) {
				socket.on('error', () => {
					connection.wasReset = true;
				});
			}

			callback(...result);
		});
	};
}

function originOf({ip, port}: Address): string {
	return `http://${ip}:${port}`;
}

/** One call running at the target. */
export class Run implements Dispatcher.DispatchHandler {
	readonly #call: Call;
	readonly #names: HeaderNames;
	readonly #sink: RunSink;
	readonly #connection: RunConnection;
	readonly #bodyStream: Readable | undefined;
	#controller: Dispatcher.DispatchController | undefined;
	#head: AnswerHead | undefined;
	#fault: FailureReason | undefined;
	#notRunReason: RefusalReason | undefined;
	#chunks: Buffer[] = [];
	#bufferedBytes = 0;
	#unreportedBytes = 0;
	#isStreaming = false;
	#isOver = false;
	#creditBytes = BODY_WINDOW_BYTES;

	constructor(call: Call, names: HeaderNames, sink: RunSink, connection: RunConnection) {
		this.#call = call;
		this.#names = names;
		this.#sink = sink;
		this.#connection = connection;
		if (call.hasMoreBody) {
			this.#bodyStream = new Readable({
				read: () => {
					this.#reportTakenBytes();
				},
			});
			this.#bodyStream.push(call.body);
		}
	}

	options(): Dispatcher.DispatchOptions {
		const {template, attemptId, path, instance, leftMs, body} = this.#call;
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
		];
		return {
			path, method: template.method, headers, body: this.#bodyStream ?? (body.length > 0 ? body : null),
		};
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
			this.#controller?.resume();
		}
	}

	/** Aborts the run; the target sees its connection close. */
	cancel(): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#controller?.abort(new Error('cancelled'));
			this.#bodyStream?.destroy();
			this.#connection.release(false);
		}
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isOver) {
			controller.abort(new Error('cancelled'));
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		if (status < 200) {
			return;
		}

		const signature = headers[this.#names.signature];
		const echoedAttemptId = headers[this.#names.attemptId];
		if (echoedAttemptId !== undefined && echoedAttemptId !== this.#call.attemptId) {
			this.#fault = 'garbled';
		} else if (headers[this.#names.notRun] !== undefined || status === 421) {
			this.#notRunReason = status === 421 ? 'misdirected' : 'shed-by-target';
		} else if (status < 300 && (signature === undefined || echoedAttemptId === undefined || headers['content-encoding'] !== undefined)) {
			this.#fault = 'garbled';
		}

		const length = headers['content-length'];
		this.#head = {
			status,
			headers: this.#forwardedHeaders(headers),
			signature: signature as string | undefined,
			lengthBytes: length === undefined ? undefined : Number(length),
			isUnframed: length === undefined && headers['transfer-encoding'] === undefined && status !== 204 && status !== 304,
			reached: [],
			isFailedBelow: false,
		};
		if (this.#fault !== undefined) {
			this.#fail(this.#fault);
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.#isStreaming) {
			this.#creditBytes -= chunk.length;
			this.#sink.onChunk(chunk, false);
		} else {
			this.#chunks.push(chunk);
			this.#bufferedBytes += chunk.length;
			if (this.#bufferedBytes > MAX_INLINE_BODY_BYTES && this.#notRunReason === undefined) {
				this.#isStreaming = true;
				this.#creditBytes -= this.#bufferedBytes;
				this.#sink.onHead(this.#head!, Buffer.concat(this.#chunks), false);
				this.#chunks = [];
			}
		}

		if (this.#creditBytes <= 0) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		if (this.#isOver) {
			return;
		}

		if (this.#connection.wasReset()) {
			this.#fail('broken');
			return;
		}

		this.#isOver = true;
		this.#bodyStream?.destroy();
		this.#connection.release(true);
		if (this.#notRunReason !== undefined) {
			this.#sink.onNotRun(this.#notRunReason);
		} else if (this.#isStreaming) {
			this.#sink.onChunk(Buffer.alloc(0), true);
		} else {
			this.#sink.onHead(this.#head!, this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks), true);
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, _error: Error): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		this.#bodyStream?.destroy();
		this.#connection.release(false);
		if (this.#controller === undefined) {
			this.#sink.onNotRun('unreachable');
		} else {
			if (this.#head === undefined) {
				this.#connection.onLost();
			}

			this.#sink.onFailed('broken');
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

	#fail(reason: FailureReason): void {
		this.#isOver = true;
		this.#controller?.abort(new Error(reason));
		this.#bodyStream?.destroy();
		this.#connection.release(false);
		this.#sink.onFailed(reason);
	}

	#forwardedHeaders(headers: Record<string, string | string[] | undefined>): string[] {
		const forwarded: string[] = [];
		for (const [name, value] of Object.entries(headers)) {
			if (value === undefined || HOP_BY_HOP_HEADERS.has(name) || name === 'content-length' || name === 'date' || name === this.#names.signature || name === this.#names.attemptId || name === this.#names.load) {
				continue;
			}

			for (const item of Array.isArray(value) ? value : [value]) {
				forwarded.push(name, item);
			}
		}

		return forwarded;
	}
}
