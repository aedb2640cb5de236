import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {
	Client, type Dispatcher, buildConnector, request,
} from 'undici';
import {IdleConnectionLimit} from '../mesh/index.js';
import {CONNECTION_HEADERS} from '../wire/index.js';
import {type HeaderNames} from './adapter.js';
import {
	type AnswerHead, type Call, type FailureReason, MAX_INLINE_BODY_BYTES, type RefusalReason, BODY_WINDOW_BYTES,
} from './call.js';
import {type Address} from './settings.js';

/** How long a connection to the target may take to open, in ms: the target is on the same host. */
const CONNECT_MS = 1000;
/** How long a health check may take, in ms: it waits for a slot like any request. */
const PROBE_MS = 1000;
/** How long kept connections are distrusted after a target sent bytes that belong to no request, in ms. */
const DISTRUST_MS = 5000;

/** The largest header block taken from the target, in bytes. */
const MAX_HEADER_BYTES = 65_536;

/** Takes what comes of one run at the target. */
export abstract class RunSink {
	abstract onHead(head: AnswerHead, body: Buffer, isWhole: boolean): void;
	abstract onChunk(bytes: Buffer, isLast: boolean): void;
	/** It did not run and won't. */
	abstract onNotRun(reason: RefusalReason): void;
	abstract onFailed(reason: FailureReason): void;
	/** The target took a piece of the request's streamed body. */
	abstract onBodyTaken(bytes: number): void;
}

/** The connections to the target beside this daemon, one request at a time on each. */
export class TargetClient {
	readonly #names: HeaderNames;
	readonly #idle: Connection[] = [];
	readonly #nowMs: () => number;
	readonly #origin: string;
	readonly #restLimit = new IdleConnectionLimit();
	#distrustUntilMs = 0;
	#generation = 0;

	constructor(address: Address, names: HeaderNames, nowMs: () => number) {
		this.#origin = originOf(address);
		this.#names = names;
		this.#nowMs = nowMs;
	}

	/** The target is another one now: its kept connections are closed. */
	discardConnections(): void {
		this.#generation++;
		this.#destroyIdle();
	}

	/** Asks the target once how it is. @returns its id and what it tells of its load, if it is well and stays */
	async probe(path: string): Promise<{id: string; load: string} | undefined> {
		const response = await request(this.#origin + path, {signal: AbortSignal.timeout(PROBE_MS)});
		await response.body.dump();
		const id = response.headers[this.#names.instance];
		const load = response.headers[this.#names.load];
		return response.statusCode === 200 && typeof id === 'string' && typeof load === 'string' ? {id, load} : undefined;
	}

	run(call: Call, sink: RunSink): Run {
		const connection = this.#rested() ?? this.#open();
		const {client} = connection;
		const restedMs = this.#nowMs() - connection.restsSinceMs;
		const generation = this.#generation;
		const run = new Run(call, this.#names, sink, {
			wasReset: () => connection.wasReset,
			onLost: () => {
				if (Number.isFinite(restedMs)) {
					this.#restLimit.recordLoss(restedMs, this.#nowMs());
				}
			},
			release: isSound => {
				this.#release(connection, isSound && generation === this.#generation);
			},
		});
		try {
			client.dispatch(run.options(), run);
		} catch (error) {
			run.onResponseError(undefined, error as Error);
		}

		return run;
	}

	/** The kept connection that was used last, if it hasn't rested for too long. */
	#rested(): Connection | undefined {
		const nowMs = this.#nowMs();
		const last = this.#idle.at(-1);
		// Those below it in the stack have rested longer.
		if (last !== undefined && !this.#restLimit.allows(nowMs - last.restsSinceMs, nowMs)) {
			this.#destroyIdle();
		}

		return this.#idle.pop();
	}

	#open(): Connection {
		const connection = {wasReset: false, restsSinceMs: Number.POSITIVE_INFINITY};
		const client = new Client(this.#origin, {
			pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: markResets(connection), maxHeaderSize: MAX_HEADER_BYTES,
		});
		client.on('disconnect', (_origin, _targets, error) => {
			// Bytes that belong to no request: an answer too many, or what isn't HTTP.
			if (error.name === 'HTTPParserError') {
				this.#distrust();
			}
		});
		return Object.assign(connection, {client});
	}

	#distrust(): void {
		this.#distrustUntilMs = this.#nowMs() + DISTRUST_MS;
		this.#destroyIdle();
	}

	#destroyIdle(): void {
		for (const {client} of this.#idle.splice(0)) {
			void client.destroy();
		}
	}

	#release(connection: Connection, isSound: boolean): void {
		const {client} = connection;
		if (!isSound) {
			void client.destroy();
		} else if (this.#nowMs() < this.#distrustUntilMs) {
			void client.close();
		} else {
			connection.restsSinceMs = this.#nowMs();
			this.#idle.push(connection);
		}
	}
}

/** What a run needs of the connection that it is sent on. */
type RunConnection = {
	readonly wasReset: () => boolean;
	/** It ended before any of the answer came. */
	readonly onLost: () => void;
	/** @param isSound whether the connection may carry another request */
	readonly release: (isSound: boolean) => void;
};

type Connection = {
	readonly client: Client;
	wasReset: boolean;
	/** When it was last used, in ms; infinite for one that never was. */
	restsSinceMs: number;
};

// The client takes an answer without a length that ends in a reset for a whole one.
function markResets(connection: {wasReset: boolean}): buildConnector.connector {
	const connect = buildConnector({timeout: CONNECT_MS});
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

/** One request at the target. */
export class Run implements Dispatcher.DispatchHandler {
	readonly #call: Call;
	readonly #names: HeaderNames;
	readonly #sink: RunSink;
	readonly #connection: RunConnection;
	readonly #source: Readable | undefined;
	#controller: Dispatcher.DispatchController | undefined;
	#head: AnswerHead | undefined;
	#fault: FailureReason | undefined;
	#notRun: RefusalReason | undefined;
	#chunks: Buffer[] = [];
	#heldBytes = 0;
	#untakenBytes = 0;
	#isStreaming = false;
	#isOver = false;
	#creditBytes = BODY_WINDOW_BYTES;

	constructor(call: Call, names: HeaderNames, sink: RunSink, connection: RunConnection) {
		this.#call = call;
		this.#names = names;
		this.#sink = sink;
		this.#connection = connection;
		if (call.hasMoreBody) {
			this.#source = new Readable({
				read: () => {
					this.#onTaken();
				},
			});
			this.#source.push(call.body);
		}
	}

	options(): Dispatcher.DispatchOptions {
		const {template: shape, attemptId, path, instance, leftMs, body} = this.#call;
		const headers = [
			...shape.headers,
			this.#names.attemptId,
			attemptId,
			this.#names.deadlineMs,
			String(Math.max(1, Math.floor(leftMs))),
			this.#names.callerService,
			shape.callerService,
			this.#names.expectedInstance,
			instance,
		];
		return {
			path, method: shape.method, headers, body: this.#source ?? (body.length > 0 ? body : null),
		};
	}

	/** More of a streamed request's body. */
	write(bytes: Buffer, isLast: boolean): void {
		if (this.#source === undefined || this.#isOver) {
			return;
		}

		if (bytes.length > 0) {
			this.#untakenBytes += bytes.length;
			this.#source.push(bytes);
		}

		if (isLast) {
			this.#source.push(null);
		}
	}

	/** The receiver can take more of the answer. */
	grantCredit(bytes: number): void {
		this.#creditBytes += bytes;
		if (this.#creditBytes > 0) {
			this.#controller?.resume();
		}
	}

	/** Breaks the run off; the target sees its connection close. */
	cancel(): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#controller?.abort(new Error('cancelled'));
			this.#source?.destroy();
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
		const echoed = headers[this.#names.attemptId];
		if (echoed !== undefined && echoed !== this.#call.attemptId) {
			this.#fault = 'garbled';
		} else if (headers[this.#names.notRun] !== undefined || status === 421) {
			this.#notRun = status === 421 ? 'misdirected' : 'shed-by-target';
		} else if (status < 300 && (signature === undefined || echoed === undefined || headers['content-encoding'] !== undefined)) {
			this.#fault = 'garbled';
		}

		const length = headers['content-length'];
		this.#head = {
			status,
			headers: this.#kept(headers),
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
			this.#heldBytes += chunk.length;
			if (this.#heldBytes > MAX_INLINE_BODY_BYTES && this.#notRun === undefined) {
				this.#isStreaming = true;
				this.#creditBytes -= this.#heldBytes;
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
		this.#source?.destroy();
		this.#connection.release(true);
		if (this.#notRun !== undefined) {
			this.#sink.onNotRun(this.#notRun);
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
		this.#source?.destroy();
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

	// The target's connection has taken what was pushed so far.
	#onTaken(): void {
		if (this.#untakenBytes > 0) {
			const bytes = this.#untakenBytes;
			this.#untakenBytes = 0;
			this.#sink.onBodyTaken(bytes);
		}
	}

	#fail(reason: FailureReason): void {
		this.#isOver = true;
		this.#controller?.abort(new Error(reason));
		this.#source?.destroy();
		this.#connection.release(false);
		this.#sink.onFailed(reason);
	}

	#kept(headers: Record<string, string | string[] | undefined>): string[] {
		const kept: string[] = [];
		for (const [name, value] of Object.entries(headers)) {
			if (value === undefined || CONNECTION_HEADERS.has(name) || name === 'content-length' || name === 'date' || name === this.#names.signature || name === this.#names.attemptId || name === this.#names.load) {
				continue;
			}

			for (const one of Array.isArray(value) ? value : [value]) {
				kept.push(name, one);
			}
		}

		return kept;
	}
}
