import {type Socket} from 'node:net';
import {Client} from 'undici';
import {ConnectionReuse} from '../../core/index.js';
import {type EventLog} from '../../log/index.js';
import {IdleConnectionLimit, type TargetSignals} from '../../mesh/index.js';
import {createOrderlyConnector} from '../../wire/index.js';
import {type Adapter, type HeaderNames} from '../adapter.js';
import {type Call} from '../call.js';
import {type Address} from '../settings.js';
import {Run, type RunSink} from './run.js';
import {readTargetSignals} from './targetsignals.js';
import {UnknownHeaders} from './unknownheaders.js';

/** The timeout for opening a connection to the target, in ms; the target is on the same host. */
const CONNECT_TIMEOUT_MS = 1000;
/** The timeout of a health check, in ms; it waits for a slot like any other request. */
const PROBE_TIMEOUT_MS = 1000;
/** The largest body of its answer, in bytes. */
const MAX_PROBE_BYTES = 1_048_576;
/** The largest header block accepted from the target, in bytes. */
const MAX_HEADER_BYTES = 65_536;

/** A pool of connections to the target beside this daemon; each carries one request at a time. */
export class TargetClient {
	readonly #names: HeaderNames;
	readonly #idle: Connection[] = [];
	readonly #nowMs: () => number;
	readonly #origin: string;
	readonly #idleLimit = new IdleConnectionLimit();
	readonly #unknownHeaders: UnknownHeaders;
	readonly #log: EventLog;
	readonly #reuse = new ConnectionReuse();
	#generation = 0;

	constructor(address: Address, {headers, headerPrefixes}: Pick<Adapter, 'headers' | 'headerPrefixes'>, nowMs: () => number, log: EventLog) {
		this.#origin = originOf(address);
		this.#names = headers;
		this.#unknownHeaders = new UnknownHeaders(headers, headerPrefixes);
		this.#nowMs = nowMs;
		this.#log = log;
	}

	/** Closes all idle connections, and those in use once their request ends, because the target was replaced. */
	discardConnections(): void {
		this.#generation++;
		this.#destroyIdle();
	}

	/**
	 * Sends one health check to the target.
	 * @returns its id, its load header and what else it says of itself, if it answers 200 with the first two
	 * @throws {DecodeError} when what it says of itself is malformed
	 * @throws {Error} when its answer isn't whole in time, or too large
	 */
	async probe(path: string): Promise<{id: string; load: string; signals: TargetSignals} | undefined> {
		const client = new Client(this.#origin, {maxResponseSize: MAX_PROBE_BYTES, connect: createOrderlyConnector({timeoutMs: PROBE_TIMEOUT_MS})});
		try {
			const response = await client.request({method: 'GET', path, signal: AbortSignal.timeout(PROBE_TIMEOUT_MS)});
			await response.body.text();
			const id = response.headers[this.#names.instance];
			const load = response.headers[this.#names.load];
			return response.statusCode === 200 && typeof id === 'string' && typeof load === 'string' ? {id, load, signals: readTargetSignals(response.headers, this.#names)} : undefined;
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
			receivedBytes: () => connection.socket?.bytesRead ?? 0,
			unknownHeaders: this.#unknownHeaders,
			onLost: () => {
				if (Number.isFinite(idleMs)) {
					this.#idleLimit.recordLoss(idleMs, this.#nowMs());
				}
			},
			onUnframed: () => {
				this.#reuse.onUnframedAnswer(this.#nowMs());
				this.#destroyIdle();
			},
			release: isReusable => {
				this.#release(connection, isReusable && generation === this.#generation);
			},
		});
		try {
			client.dispatch(run.options(), run);
		} catch (error) {
			run.onUnsent(error as Error);
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
		const connection: ConnectionState = {socket: undefined, idleSinceMs: Number.POSITIVE_INFINITY};
		const client = new Client(this.#origin, {
			pipelining: 1, headersTimeout: 0, bodyTimeout: 0, maxHeaderSize: MAX_HEADER_BYTES,
			connect: createOrderlyConnector({
				timeoutMs: CONNECT_TIMEOUT_MS,
				onConnected(socket) {
					connection.socket = socket;
				},
			}),
		});
		client.on('disconnect', (_origin, _targets, error) => {
			// The target sent bytes that belong to no request: a surplus answer, or data that isn't HTTP.
			if (error.name === 'HTTPParserError') {
				this.#log.event('target_surplus_bytes', {target: this.#origin, reason: error.message});
				this.#reuse.onSurplusBytes(this.#nowMs());
				this.#destroyIdle();
			}
		});
		return Object.assign(connection, {client});
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
		} else if (this.#reuse.isAllowed(this.#nowMs())) {
			connection.idleSinceMs = this.#nowMs();
			this.#idle.push(connection);
		} else {
			void client.close();
		}
	}
}

type ConnectionState = {
	/** Undefined until it is open. */
	socket: Socket | undefined;
	/** When the connection became idle, in ms; infinite for one that has carried no request yet. */
	idleSinceMs: number;
};

type Connection = ConnectionState & {readonly client: Client};

function originOf({ip, port}: Address): string {
	return `http://${ip}:${port}`;
}
