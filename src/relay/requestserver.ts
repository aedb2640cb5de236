import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '../clock/index.js';
import {type EventLog} from '../log/index.js';
import {
	type AttemptsParts, type ClientLimits, type HostEntry, type Route, type LoadShedder, type Site, TrafficSplitter,
} from '../mesh/index.js';
import {CONNECTION_HEADERS} from '../wire/index.js';
import {
	type Call, type CallHandle, type CallTemplate, type CallSink,
} from './call.js';
import {Exchange} from './exchange.js';
import {type ResponseWriterContext} from './responsewriter.js';
import {listen} from './listen.js';
import {type Address} from './settings.js';
import {PeriodicCheck} from './periodiccheck.js';

/** The largest header block taken from a client, in bytes, whatever the configuration says. */
const MAX_HEADER_BYTES = 65_536;
/** When to return to a daemon that has no configuration yet, in s. */
const NO_SITE_RETRY_S = '0.4';

/** Headers that concern one connection only, or that this daemon sets itself. */
const NOT_FORWARDED = new Set([...CONNECTION_HEADERS, 'expect', 'content-length']);

export type ExchangeContext = ResponseWriterContext & AttemptsParts & {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly loadShedder: LoadShedder;
	readonly random: () => number;
	readonly send: (entry: HostEntry, call: Call, sink: CallSink) => CallHandle;
	readonly onEnded: (exchange: Exchange) => void;
	/** A nested call didn't succeed; its parent's attempt. */
	readonly onNestedFailure: (attemptId: string) => void;
};

export type RequestServerOptions = Omit<ExchangeContext, 'onBudget' | 'prepare' | 'closeAfter' | 'onEnded'> & {
	readonly site: () => Site | undefined;
	/** The service that runs on this host now. */
	readonly callerService: () => string;
	/** The run in progress on this host that waits for an attempt. */
	readonly findParentCall: (attemptId: string) => Call | undefined;
};

type Connection = {
	readonly exchanges: Set<Exchange>;
	/** Requests whose answers haven't been handed to the socket yet. */
	unanswered: number;
	isClosing: boolean;
};

/** Takes the requests of the clients and the target on this host. */
export class RequestServer {
	readonly #options: RequestServerOptions;
	readonly #parts: ExchangeContext;
	readonly #server: Server;
	readonly #splitter: TrafficSplitter;
	readonly #exchanges = new Set<Exchange>();
	readonly #connections = new WeakMap<Socket, Connection>();
	readonly #forwarded: Set<string>;
	readonly #sockets = new Set<Socket>();
	readonly #sweep = new PeriodicCheck(() => this.#checkTimes());
	#isStopping = false;

	constructor(options: RequestServerOptions) {
		this.#options = options;
		this.#splitter = new TrafficSplitter(options.random);
		this.#forwarded = new Set([...NOT_FORWARDED, options.names.attemptId, options.names.deadlineMs, options.names.callerService, options.names.expectedInstance]);
		this.#parts = {
			...options,
			prepare: response => {
				this.#prepare(response);
			},
			onBudget({attemptId, service, route, level}, isGranted) {
				options.log.registry.count(isGranted ? 'budget_spent' : 'budget_denied', {service});
				if (!isGranted) {
					options.log.event('budget_denied', {
						attempt: attemptId, route: route.name, service, level,
					});
				}
			},
			closeAfter: response => this.#closeAfter(response),
			onEnded: exchange => {
				this.#exchanges.delete(exchange);
				this.#connections.get(exchange.socket)?.exchanges.delete(exchange);
			},
		};
		this.#server = createServer({maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, noDelay: true}, (request, response) => {
			this.#onRequest(request, response);
		});
		this.#server.on('connection', (socket: Socket) => {
			this.#sockets.add(socket);
			const connection: Connection = {exchanges: new Set(), unanswered: 0, isClosing: false};
			this.#connections.set(socket, connection);
			socket.on('close', () => {
				this.#sockets.delete(socket);
				for (const exchange of connection.exchanges) {
					exchange.onClientDisconnected();
				}
			});
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#onClientError(error, socket);
		});
	}

	get openRequests(): number {
		return this.#exchanges.size;
	}

	async listen(address: Address): Promise<void> {
		await listen(this.#server, address);
	}

	/** Applies what clients may do by the configuration in force. */
	applyLimits(limits: ClientLimits): void {
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.#server.keepAliveTimeout = limits.idleTimeoutMs;
	}

	/** From now on each answer closes its connection. */
	stop(): void {
		this.#isStopping = true;
	}

	/** Takes no more requests: what is open is answered, and its connections close. */
	drain(): void {
		this.#isStopping = true;
		this.#server.close();
		for (const socket of this.#sockets) {
			const connection = this.#connections.get(socket)!;
			connection.isClosing = true;
			if (connection.unanswered === 0) {
				socket.end();
			}
		}
	}

	/** Ends what is still open and closes all connections. */
	close(): void {
		for (const exchange of this.#exchanges) {
			exchange.abort();
		}

		for (const socket of this.#sockets) {
			socket.end();
		}
	}

	#onRequest(request: IncomingMessage, response: ServerResponse): void {
		const {log, names, site: siteOf} = this.#options;
		const connection = this.#connections.get(request.socket)!;
		if (connection.isClosing) {
			// An answer before this request closes the connection: it counts as not read.
			return;
		}

		connection.unanswered++;
		response.on('finish', () => {
			connection.unanswered--;
		});

		response.sendDate = false;
		const site = siteOf();
		if (site === undefined) {
			this.#answer(response, 503, 'no-site', ['retry-after', NO_SITE_RETRY_S]);
			return;
		}

		const {headers, url = ''} = request;
		const attemptId = headers[names.attemptId];
		const leftMs = Number(headers[names.deadlineMs] ?? Number.POSITIVE_INFINITY);
		if (!url.startsWith('/') || headers.host === undefined || typeof attemptId !== 'string' || Number.isNaN(leftMs)) {
			this.#answer(response, 400, 'malformed');
			return;
		}

		const route = site.routeTable.match(headers.host, url);
		if (route === undefined) {
			this.#answer(response, 404, 'no-route');
			log.event('no_route', {attempt: attemptId, siteRevision: site.revision, target: url.slice(0, 80)});
			return;
		}

		const service = this.#splitter.choose(route) ?? '';
		const exchange = new Exchange(this.#parts, request, response, {
			route, service, attemptId, leftMs, template: this.#shapeOf(request, route), parentCall: this.#options.findParentCall(attemptId),
		});
		this.#exchanges.add(exchange);
		connection.exchanges.add(exchange);

		this.#sweep.schedule();
		const length = headers['content-length'];
		const hasBody = headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
		if (exchange.isAdmitted) {
			exchange.start(hasBody, site.spec.limits.bodyBytes);
		} else {
			exchange.shed();
		}
	}

	#shapeOf(request: IncomingMessage, {name, rank, repeatability}: Route): CallTemplate {
		const headers: string[] = [];
		const {rawHeaders} = request;
		for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
			if (!this.#forwarded.has(rawHeaders[at].toLowerCase())) {
				headers.push(rawHeaders[at], rawHeaders[at + 1]);
			}
		}

		return {
			route: name, rank, repeatability, method: request.method!, callerService: this.#options.callerService(), headers,
		};
	}

	#prepare(response: ServerResponse): void {
		if (this.#isStopping) {
			this.#closeAfter(response);
		}
	}

	#closeAfter(response: ServerResponse): boolean {
		const connection = this.#connections.get(response.req.socket);
		if (connection === undefined || connection.unanswered > 1) {
			return false;
		}

		connection.isClosing = true;
		response.shouldKeepAlive = false;
		return true;
	}

	#answer(response: ServerResponse, status: number, reason: string, headers: string[] = []): void {
		this.#options.log.registry.count('rejected', {reason});
		this.#prepare(response);
		response.writeHead(status, [...headers, 'content-length', '0']);
		response.end();
	}

	#onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
		this.#options.log.registry.count('bad_input', {address: 'requests'});
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request');
		const isAnswering = (this.#connections.get(socket)?.unanswered ?? 0) > 0;
		if (isAnswering) {
			socket.destroy();
		} else {
			socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		}
	}

	#checkTimes(): boolean {
		const nowMs = this.#options.clock.nowMs();
		for (const exchange of this.#exchanges) {
			exchange.checkTime(nowMs);
		}

		return this.#exchanges.size > 0;
	}
}
