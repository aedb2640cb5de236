import {Buffer} from 'node:buffer';
import {type Dispatcher, Pool} from 'undici';
import {type Output} from '../core/index.js';
import {type HttpMessage, filterForwardableHeaders, header} from '../wire/index.js';
import {type MessageBus} from './messagebus.js';
import {type ContextTokens} from './contexttokens.js';

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 60_000;

type Dispatch = Extract<Output, {type: 'dispatch'}>;

/** Owns the connections to the target beside this daemon. */
export class TargetClient {
	readonly #bus: MessageBus;
	readonly #contexts: ContextTokens;
	readonly #maxBodyBytes: number;
	readonly #running = new Map<number, Run>();
	#origin = '';
	#pool: Pool | undefined;

	constructor(bus: MessageBus, contexts: ContextTokens, maxBodyBytes: number) {
		this.#bus = bus;
		this.#contexts = contexts;
		this.#maxBodyBytes = maxBodyBytes;
		void bus.outputs('dispatch').observe(output => {
			this.#dispatch(output);
		});
		void bus.outputs('cancel').observe(({id}) => {
			this.#running.get(id)?.cancel();
		});
	}

	/** Points at the target; connections to an earlier address finish what they run. */
	setOrigin(origin: string, connections: number): void {
		if (origin !== this.#origin) {
			void this.#pool?.close();
			this.#origin = origin;
			this.#pool = new Pool(origin, {
				connections, pipelining: 1, connectTimeout: CONNECT_TIMEOUT_MS, keepAliveTimeout: KEEP_ALIVE_MS, headersTimeout: 0, bodyTimeout: 0,
			});
		}
	}

	async close(): Promise<void> {
		await this.#pool?.close();
	}

	#dispatch(output: Dispatch): void {
		const {id} = output;
		const run = new Run(this.#maxBodyBytes, result => {
			this.#running.delete(id);
			this.#bus.send({type: 'target', id, result});
		});
		if (this.#pool === undefined) {
			run.onResponseError(undefined, new Error('no target'));
			return;
		}

		this.#running.set(id, run);
		const message = output.payload as HttpMessage;
		this.#pool.dispatch({
			path: message.path ?? '/',
			method: (message.method ?? 'GET'),
			headers: this.#headers(output, message),
			body: message.body.length > 0 ? message.body : null,
		}, run);
	}

	#headers(output: Dispatch, message: HttpMessage): string[] {
		const headers = [
			...message.headers,
			header.CONTEXT,
			this.#contexts.encode(output.id),
			header.BUDGET_MS,
			String(Math.max(1, Math.floor(output.budgetMs))),
		];
		if (output.key !== undefined && !message.headers.includes(header.KEY)) {
			headers.push(header.KEY, output.key);
		}

		return headers;
	}
}

type Done = (result: Extract<Parameters<MessageBus['send']>[0], {type: 'target'}>['result']) => void;

/** One request at the target: collects the whole answer, or tells how it broke off. */
class Run implements Dispatcher.DispatchHandler {
	readonly #maxBodyBytes: number;
	readonly #done: Done;
	readonly #chunks: Buffer[] = [];
	#length = 0;
	#status = 0;
	#headers: string[] = [];
	#claimsNotRun = false;
	#isSent = false;
	#isOver = false;
	#controller: Dispatcher.DispatchController | undefined;

	constructor(maxBodyBytes: number, done: Done) {
		this.#maxBodyBytes = maxBodyBytes;
		this.#done = done;
	}

	cancel(): void {
		this.#controller?.abort(new Error('cancelled'));
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		this.#isSent = true;
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		this.#status = status;
		this.#claimsNotRun = headers[header.OUTCOME] === 'not-run';
		this.#headers = filterForwardableHeaders(flatten(headers));
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		this.#length += chunk.length;
		if (this.#length > this.#maxBodyBytes) {
			controller.abort(new Error('answer too long'));
			return;
		}

		this.#chunks.push(chunk);
	}

	onResponseEnd(): void {
		const body = this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks);
		const payload: HttpMessage = {status: this.#status, headers: this.#headers, body};
		this.#end({
			kind: 'whole', status: this.#status, payload, claimsNotRun: this.#claimsNotRun,
		});
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, _error: Error): void {
		this.#end({kind: this.#isSent ? 'broken' : 'unsent'});
	}

	#end(result: Parameters<Done>[0]): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#done(result);
		}
	}
}

function flatten(headers: Record<string, string | string[] | undefined>): string[] {
	const flat: string[] = [];
	for (const [name, value] of Object.entries(headers)) {
		for (const one of Array.isArray(value) ? value : [value ?? '']) {
			flat.push(name, one);
		}
	}

	return flat;
}
