import {type Buffer} from 'node:buffer';
import {Client, type Dispatcher, Pool} from 'undici';
import {ConnectionReuse, type Output, type TargetResult} from '../core/index.js';
import {
	BodyCollector, type HttpMessage, StatusCheck, createOrderlyConnector, endsInChunked, endsInStatusLine, filterForwardableHeaders, header,
} from '../wire/index.js';
import {type MessageBus} from './messagebus.js';
import {type ContextTokens} from './contexttokens.js';

const CONNECT_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 60_000;

type Dispatch = Extract<Output, {type: 'dispatch'}>;

/** Owns the connections to the target on this host and sends it the requests that the core dispatches. */
export class TargetClient {
	readonly #bus: MessageBus;
	readonly #contextTokens: ContextTokens;
	readonly #maxBodyBytes: number;
	readonly #nowMs: () => number;
	readonly #reuse = new ConnectionReuse();
	readonly #runs = new Map<number, Run>();
	#origin = '';
	#pool: Pool | undefined;

	constructor(bus: MessageBus, contextTokens: ContextTokens, maxBodyBytes: number, nowMs: () => number) {
		this.#bus = bus;
		this.#nowMs = nowMs;
		this.#contextTokens = contextTokens;
		this.#maxBodyBytes = maxBodyBytes;
		bus.handle('dispatch', output => {
			this.#dispatch(output);
		});
		bus.handle('cancel', ({id}) => {
			this.#runs.get(id)?.cancel();
		});
	}

	/** Sends further requests to this origin. Runs on connections to an earlier origin finish first. */
	setOrigin(origin: string, connections: number): void {
		if (origin !== this.#origin) {
			void this.#pool?.close();
			this.#origin = origin;
			this.#pool = new Pool(origin, {
				connections, pipelining: 1, keepAliveTimeout: IDLE_TIMEOUT_MS, headersTimeout: 0, bodyTimeout: 0,
				factory: (...args) => new TrackedClient(...args),
			});
		}
	}

	async close(): Promise<void> {
		await this.#pool?.close();
	}

	#dispatch(output: Dispatch): void {
		const {id} = output;
		const context = this.#contextTokens.encode(id);
		const message = output.payload as HttpMessage;
		const run = new Run({context, hasBody: message.method !== 'HEAD', maxBodyBytes: this.#maxBodyBytes}, {
			onUnframed: () => {
				this.#reuse.onUnframedAnswer(this.#nowMs());
			},
			report: result => {
				this.#runs.delete(id);
				this.#bus.send({type: 'target', id, result});
			},
		});
		if (this.#pool === undefined) {
			run.onResponseError(undefined, new Error('no target is known'));
			return;
		}

		this.#runs.set(id, run);
		this.#pool.dispatch({
			path: message.path ?? '/',
			method: (message.method ?? 'GET'),
			headers: this.#buildHeaders(output, message, context),
			body: message.body.length > 0 ? message.body : null,
			reset: !this.#reuse.isAllowed(this.#nowMs()),
			onConnection(connection) {
				run.connection = connection;
			},
		} satisfies TrackedOptions as Dispatcher.DispatchOptions, run);
	}

	#buildHeaders(output: Dispatch, message: HttpMessage, context: string): string[] {
		const headers = [
			...message.headers,
			header.CONTEXT,
			context,
			header.BUDGET_MS,
			String(Math.max(1, Math.floor(output.budgetMs))),
		];
		if (output.key !== undefined && !message.headers.includes(header.KEY)) {
			headers.push(header.KEY, output.key);
		}

		return headers;
	}
}

/** What a request needs to know of its connection. */
type TrackedConnection = {hasCarriedRequest: boolean};

/** Options of a request that wants to know its connection. */
type TrackedOptions = Dispatcher.DispatchOptions & {readonly onConnection: (connection: TrackedConnection) => void};

/** One connection of the pool, which tells each request whether it is the first. */
class TrackedClient extends Client {
	readonly #connection: TrackedConnection;

	constructor(origin: URL, options: object) {
		const connection = {hasCarriedRequest: false};
		super(origin, {
			...options, connect: createOrderlyConnector({
				timeoutMs: CONNECT_TIMEOUT_MS,
				onConnected() {
					connection.hasCarriedRequest = false;
				},
			}),
		});
		this.#connection = connection;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		(options as TrackedOptions).onConnection(this.#connection);
		return super.dispatch(options, handler);
	}
}

type RunListener = {
	/** Called when the target answers without a length. */
	readonly onUnframed: () => void;
	readonly report: (result: TargetResult) => void;
};

/** One request to the target: collects the whole response, or reports whether the request was sent before it failed. */
class Run implements Dispatcher.DispatchHandler {
	/** Undefined until the request has got one. */
	connection: TrackedConnection | undefined;
	readonly #context: string;
	/** Whether an answer to the request has a body. */
	readonly #hasBody: boolean;
	readonly #maxBodyBytes: number;
	readonly #listener: RunListener;
	readonly #body = new BodyCollector();
	readonly #statusCheck = new StatusCheck();
	#status = 0;
	#headers: string[] = [];
	#claimsNotRun = false;
	/** Whether the connection carried another request before. */
	#isReused = false;
	#isSent = false;
	#isCancelled = false;
	#isReported = false;
	/** Whether this daemon ended the connection. */
	#isAborted = false;
	#controller: Dispatcher.DispatchController | undefined;

	constructor({context, hasBody, maxBodyBytes}: {readonly context: string; readonly hasBody: boolean; readonly maxBodyBytes: number}, listener: RunListener) {
		this.#context = context;
		this.#hasBody = hasBody;
		this.#maxBodyBytes = maxBodyBytes;
		this.#listener = listener;
	}

	/** Ends the run, or keeps it from being sent if it still waits for a connection. */
	cancel(): void {
		this.#isCancelled = true;
		this.#controller?.abort(new Error('cancelled'));
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#isCancelled) {
			this.#finish({kind: 'withdrawn'});
			// An abort would close the connection, which others wait for.
			throw new Error('cancelled');
		}

		this.#controller = controller;
		this.#isSent = true;
		this.#isReused = this.connection!.hasCarriedRequest;
		this.connection!.hasCarriedRequest = true;
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>, reason = ''): void {
		const kind = this.#statusCheck.kindOf(status);
		if (kind === 'invalid') {
			this.#abort(controller, `answer with status ${status}`);
		}

		if (kind !== 'final') {
			return;
		}

		const echoed = headers[header.CONTEXT];
		if (echoed !== undefined && echoed !== this.#context) {
			this.#abort(controller, 'answer to another request');
			return;
		}

		if (this.#isReused && [reason, ...Object.values(headers).flat()].some(text => text !== undefined && endsInStatusLine(text))) {
			this.#abort(controller, 'two heads in one');
			return;
		}

		if (this.#hasBody && isUnframed(status, headers)) {
			this.#listener.onUnframed();
			if (this.#isReused) {
				// The target may repeat an earlier answer late, and all bytes until the end of the connection would be the body.
				this.#abort(controller, 'answer without a length on a connection used before');
				return;
			}
		}

		this.#status = status;
		this.#claimsNotRun = headers[header.OUTCOME] === 'not-run';
		this.#headers = filterForwardableHeaders(flattenHeaders(headers));
		if (this.#claimsNotRun && echoed === undefined) {
			// If the target repeats it on this connection, nothing tells it from the answer to the next request.
			this.onResponseEnd();
			controller.abort(new Error('refusal without a context'));
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.#body.length + chunk.length > this.#maxBodyBytes) {
			this.#abort(controller, 'response body is too long');
			return;
		}

		this.#body.add(chunk);
	}

	onResponseEnd(): void {
		const payload: HttpMessage = {status: this.#status, headers: this.#headers, body: this.#body.toBuffer()};
		this.#finish({
			kind: 'whole', status: this.#status, payload, claimsNotRun: this.#claimsNotRun,
		});
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, _error: Error): void {
		this.#finish(this.#isSent ? {kind: 'broken', isLost: !this.#isAborted} : {kind: 'unsent'});
	}

	#abort(controller: Dispatcher.DispatchController, reason: string): void {
		this.#isAborted = true;
		controller.abort(new Error(reason));
	}

	#finish(result: TargetResult): void {
		if (!this.#isReported) {
			this.#isReported = true;
			this.#listener.report(result);
		}
	}
}

function isUnframed(status: number, headers: Record<string, string | string[] | undefined>): boolean {
	const encoding = headers['transfer-encoding'];
	return headers['content-length'] === undefined && !(encoding !== undefined && endsInChunked(String(encoding))) && status !== 204 && status !== 304;
}

function flattenHeaders(headers: Record<string, string | string[] | undefined>): string[] {
	const flat: string[] = [];
	for (const [name, value] of Object.entries(headers)) {
		for (const item of Array.isArray(value) ? value : [value ?? '']) {
			flat.push(name, item);
		}
	}

	return flat;
}
