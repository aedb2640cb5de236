import {Buffer} from 'node:buffer';
import {
	type IncomingMessage, type Server, type ServerResponse, createServer, request as httpRequest,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {meshHeaders} from './meshadapter.js';

/** The path of health checks. */
export const HEALTH_PATH = '/health';

/** How long before a crash an answer may have been written that the other side hasn't read, in ms. */
const UNREAD_MS = 20;
/** How long a target runs a request that crashes it, and how long it is down then, in ms. */
export const CRASH_AFTER_MS = 20;
const CRASHED_MS = 400;

/** A nested call that a target makes while it runs a request; `times` is how often it makes it. */
export type NestedCall = {readonly path: string; readonly times: number};

/** Handles a request in place of the usual run and answer. */
export type BehaviourOverride = (request: IncomingMessage, response: ServerResponse, body: Buffer) => void;

/** Handles a request before its body is read. */
export type StreamOverride = (request: IncomingMessage, response: ServerResponse) => void;

/** How the target itself keeps an answer from its sender: it cuts the answer, or sends one without a length on a connection that was used before. */
export type SpoiltOutcome = 'cut' | 'unframed';

/** When a request ended, in ms since 1970, and how: its answer was written, its sender closed the connection before, or the target spoilt its answer or crashed. */
export type RequestEnd = {readonly endedMs: number; readonly outcome: 'answered' | 'broken-off' | SpoiltOutcome | 'crashed'};

/** Tells whether a request crashes the target. */
export type CrashRule = (request: IncomingMessage, body: Buffer) => boolean;

/** Options of a target; `workMs` is the service time of its own work. */
export type MeshTargetOptions = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	readonly workMs: number;
	/** Returns the port of the daemon to which the target sends its nested calls. */
	readonly outbound?: () => number;
	/** Nested calls by path prefix of the request. */
	readonly calls?: Readonly<Record<string, readonly NestedCall[]>>;
	readonly bodyBytes?: number;
	/** Whether the target never announces itself, so that only a health check finds it. */
	readonly isSilent?: boolean;
	readonly extraHeaders?: Readonly<Record<string, string>>;
};

/** A target that takes `workMs` for each request, makes its nested calls, and records what it received and ran. */
export class MeshTarget {
	readonly ranAttemptIds: string[] = [];
	readonly receivedRequests: IncomingMessage[] = [];
	readonly receivedBodies: Buffer[] = [];
	/** When each request arrived, in ms since 1970. */
	readonly receivedTimesMs: number[] = [];
	/** How each request ended; absent while it is open. */
	readonly receivedEnds: Array<RequestEnd | undefined> = [];
	/** The requests for this instance whose heads arrived, whether or not their bodies did. */
	readonly begunAttemptIds: string[] = [];
	/** Headers that the target adds to its answers. */
	extraHeaders: Readonly<Record<string, string>>;
	/** Factor on the service time. */
	slowness = 1;
	runningCount = 0;
	maxRunningCount = 0;
	/** Connections opened to the target since its start, the closed ones included. */
	openedConnectionCount = 0;
	behaviourOverride: BehaviourOverride | undefined;
	/** Handles the requests for this instance in place of all else. */
	streamOverride: StreamOverride | undefined;
	/** Tells which requests crash the target, a moment after it began to run them. */
	crashesOn: CrashRule | undefined;
	/** How often the target has crashed. */
	crashCount = 0;
	readonly options: MeshTargetOptions;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #spoiltResponses = new WeakMap<ServerResponse, SpoiltOutcome>();
	#seq = 0;
	#port = 0;
	#start = 0;

	constructor(options: MeshTargetOptions) {
		this.options = options;
		this.extraHeaders = options.extraHeaders ?? {};
		this.#server = createServer({keepAliveTimeout: 10_000}, (request, response) => {
			void this.#serve(request, response);
		});
		this.#server.on('connection', socket => {
			this.openedConnectionCount++;
			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	get port(): number {
		return (this.#server.address() as AddressInfo | null)?.port ?? this.#port;
	}

	get openConnectionCount(): number {
		return this.#sockets.size;
	}

	/** Stops answering: every later request stays open. @returns counters of the requests received since, and of those whose response was closed */
	hang(): {readonly begun: number; readonly closed: number} {
		const counters = {begun: 0, closed: 0};
		this.behaviourOverride = (_request, response) => {
			counters.begun++;
			response.on('close', () => {
				counters.closed++;
			});
		};

		return counters;
	}

	async listen(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Ends like a process that crashes: every connection breaks, and none is accepted until `restart`. */
	crash(): void {
		this.crashCount++;
		this.runningCount = 0;
		this.#port = this.port;
		this.#server.close();
		for (const [index, end] of this.receivedEnds.entries()) {
			const {socket} = this.receivedRequests[index];
			// The reset drops what the other side hasn't read yet.
			if (end?.outcome === 'answered' && Date.now() - end.endedMs <= UNREAD_MS && this.#sockets.has(socket)) {
				this.receivedEnds[index] = {...end, outcome: 'crashed'};
			}
		}

		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Crashes unless it is down already, and starts again after a while. */
	async crashAndRestart(downMs = CRASHED_MS): Promise<void> {
		if (this.isRunning) {
			this.crash();
			await sleep(downMs);
			await this.restart();
		}
	}

	/** Listens again after a crash, as another instance. */
	async restart(): Promise<void> {
		this.#start++;
		await new Promise<void>(resolve => {
			this.#server.listen(this.#port, '127.0.0.1', resolve);
		});
	}

	get isRunning(): boolean {
		return this.#server.listening;
	}

	/** The id of the present start. */
	get id(): string {
		return this.#start === 0 ? this.options.id : `${this.options.id}-${this.#start}`;
	}

	async close(): Promise<void> {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Sends an announcement to the daemon beside the target. @returns the answer's status */
	async announce(port: number, state: 'ready' | 'draining' = 'ready', bornMs = this.#start + 1): Promise<number> {
		return this.announceAs(this.port, port, state, bornMs);
	}

	/** Does the same as `announce`, for a target that listens on another port. */
	async announceAs(targetPort: number, port: number, state: 'ready' | 'draining' = 'ready', bornMs = this.#start + 1, seq = ++this.#seq): Promise<number> {
		const {id} = this;
		const {service, slots} = this.options;
		const announcement = {
			id, bornMs, seq, service, failureDomain: 'a', address: `127.0.0.1:${targetPort}`, slots, state, warmUpLeftMs: 0,
		};
		return post(port, {type: 'announcement', announcement});
	}

	async deregister(port: number): Promise<number> {
		return post(port, {type: 'farewell', farewell: {id: this.id}});
	}

	/** Sends an answer that carries the instance's signature. */
	answer(response: ServerResponse, attemptId: string, status = 200, body = Buffer.alloc(this.options.bodyBytes ?? 10, 'x')): void {
		response.writeHead(status, {
			...this.extraHeaders, [meshHeaders.attemptId]: attemptId, [meshHeaders.signature]: `${this.id}/${attemptId}`, 'content-length': body.length,
		});
		response.end(body);
	}

	/** Sends an announcement that was made earlier, before the present state. */
	async announceLate(port: number): Promise<number> {
		return this.announceAs(this.port, port, 'ready', undefined, 1);
	}

	/** Resets the connection of an answer. */
	protected cut(response: ServerResponse): void {
		this.spoil(response);
		response.socket?.resetAndDestroy();
	}

	/** Records that the target itself ends an answer early, sends none, or one that its sender doesn't take. */
	protected spoil(response: ServerResponse, outcome: SpoiltOutcome = 'cut'): void {
		this.#spoiltResponses.set(response, outcome);
	}

	/** How long the target works on a request, in ms. */
	protected workMsOf(_url: string): number {
		return this.options.workMs;
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const attemptId = String(request.headers[meshHeaders.attemptId]);
		if (request.headers[meshHeaders.expectedInstance] === this.id) {
			this.begunAttemptIds.push(attemptId);
			if (this.streamOverride !== undefined) {
				this.streamOverride(request, response);
				return;
			}
		}

		const chunks: Buffer[] = [];
		try {
			for await (const chunk of request) {
				chunks.push(chunk as Buffer);
			}
		} catch {
			// Its sender broke it off: it doesn't run.
			return;
		}

		const body = Buffer.concat(chunks);
		if (request.url === HEALTH_PATH) {
			const {id, options: {slots}} = this;
			response.writeHead(200, {...this.extraHeaders, [meshHeaders.instance]: id, [meshHeaders.load]: String(slots)});
			response.end();
			return;
		}

		if (request.headers[meshHeaders.expectedInstance] !== this.id) {
			response.writeHead(421);
			response.end();
			return;
		}

		const index = this.receivedRequests.push(request) - 1;
		const {crashCount} = this;
		response.on('close', () => {
			const spoilt = this.#spoiltResponses.get(response);
			const outcome = this.crashCount === crashCount || spoilt === 'cut' ? spoilt ?? 'broken-off' : 'crashed';
			this.receivedEnds[index] = {endedMs: Date.now(), outcome: response.writableFinished ? 'answered' : outcome};
		});
		this.receivedBodies.push(body);
		this.receivedTimesMs.push(Date.now());
		if (this.behaviourOverride !== undefined) {
			this.behaviourOverride(request, response, body);
			return;
		}

		const isDeadly = this.crashesOn?.(request, body) === true;
		if (isDeadly) {
			setTimeout(() => {
				void this.crashAndRestart();
			}, CRASH_AFTER_MS);
		}

		this.ranAttemptIds.push(attemptId);
		this.runningCount++;
		this.maxRunningCount = Math.max(this.maxRunningCount, this.runningCount);
		if (isDeadly) {
			// Timers of different delays that are late run in any order, and the crash must come first.
			return;
		}

		await sleep(this.workMsOf(request.url!) * this.slowness);
		const hasSucceeded = await this.#sendNestedCalls(request, attemptId);
		this.runningCount--;
		this.answer(response, attemptId, hasSucceeded ? 200 : 500);
	}

	async #sendNestedCalls({url, headers}: IncomingMessage, attemptId: string): Promise<boolean> {
		const calls = Object.entries(this.options.calls ?? {}).find(([prefix]) => url!.startsWith(prefix))?.[1] ?? [];
		let callIndex = 0;
		for (const {path, times} of calls) {
			for (let time = 0; time < times; time++) {
				const options = {headers: {host: headers.host!, [meshHeaders.attemptId]: `${attemptId}.${callIndex++}`, [meshHeaders.deadlineMs]: '2000'}};
				// eslint-disable-next-line no-await-in-loop -- the calls are sequential, as in most services
				const {status} = await call(this.options.outbound!(), path, options);
				if (status !== 200) {
					return false;
				}
			}
		}

		return true;
	}
}

/** An answer as its caller received it; `isWhole` is false if the body was cut off. */
export type MeshAnswer = {readonly status: number; readonly headers: Readonly<Record<string, string | string[] | undefined>>; readonly body: Buffer; readonly isWhole: boolean};

/** Sends one request. If the connection fails before the headers arrive, it resolves with status 0 and does not throw. */
export async function call(port: number, path: string, options: {method?: string; headers?: Record<string, string>; body?: Buffer; signal?: AbortSignal} = {}): Promise<MeshAnswer> {
	return new Promise(resolve => {
		const fail = () => {
			resolve({
				status: 0, headers: {}, body: Buffer.alloc(0), isWhole: false,
			});
		};

		const request = httpRequest({
			host: '127.0.0.1', port, path, method: options.method ?? 'GET', headers: options.headers ?? {}, signal: options.signal, agent: false,
		}, response => {
			const chunks: Buffer[] = [];
			response.on('data', (chunk: Buffer) => {
				chunks.push(chunk);
			});
			response.on('close', () => {
				resolve({
					status: response.statusCode!, headers: response.headers, body: Buffer.concat(chunks), isWhole: response.complete,
				});
			});
			response.on('error', () => undefined);
		});
		request.on('error', fail);
		request.end(options.body);
	});
}

async function post(port: number, message: unknown): Promise<number> {
	const {status} = await call(port, '/target', {method: 'POST', body: Buffer.from(JSON.stringify(message))});
	return status;
}
