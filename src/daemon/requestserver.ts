import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Answer, createUnknownAnswer} from '../core/index.js';
import {
	BodyCollector, type HttpMessage, LINGER_MS, ServerConnection, closeWhenIdle, header, listen, stopListening,
} from '../wire/index.js';
import {type Logger} from '../log/index.js';
import {buildHttpAnswer} from './answer.js';
import {type MessageBus} from './messagebus.js';
import {type ContextTokens} from './contexttokens.js';
import {RequestError} from './requesterror.js';
import {type RequestHead, parseRequestHead} from './request.js';

const MAX_HEADER_BYTES = 32_768;
/** How long a daemon that stops waits for clients that read their answers slowly, in ms. */
const MAX_WRITE_MS = 10_000;

/** How long a daemon that stops accepts the connections that have been opened to it, in ms. */
const MAX_ACCEPT_MS = 1000;

/** How long a predecessor may keep the address, in ms: until the calls at its target have ended. */
const HAND_OVER_MS = 30_000;

/** Where a request server listens, and its limits. */
export type RequestServerOptions = {
	readonly host: string;
	readonly port: number;
	/** Longest request body accepted, in bytes. */
	readonly bodyBytes: number;
	/** Most requests open at once; further ones are refused as overload. */
	readonly requests: number;
	/** How long a connection may stay idle after an answer, in ms. */
	readonly idleTimeoutMs: number;
	/** Receives the requests whose path begins with the daemon's own prefix. */
	readonly handleOwnEndpoint: OwnEndpointHandler;
};

/** Handles a request for one of the daemon's own endpoints. */
export type OwnEndpointHandler = (request: IncomingMessage, body: Buffer, response: ServerResponse) => void;

/** A caller's connection, with the ids of the requests on it whose responses are open. */
class CallerConnection extends ServerConnection {
	readonly openIds = new Set<number>();
}

/** Owns the callers' connections: turns HTTP requests into inputs to the core, and the core's answers into responses. */
export class RequestServer {
	readonly server: http.Server;
	readonly #bus: MessageBus;
	readonly #contextTokens: ContextTokens;
	readonly #log: Logger;
	readonly #options: RequestServerOptions;
	readonly #openResponses = new Map<number, ServerResponse>();
	readonly #connections = new Map<Socket, CallerConnection>();
	/** Called when no response is open any more. */
	readonly #onNoneOpen = new Set<() => void>();
	#nextId = 1;
	#isClosing = false;
	#rejectedRequests = 0;

	constructor(bus: MessageBus, contextTokens: ContextTokens, log: Logger, options: RequestServerOptions) {
		this.#bus = bus;
		this.#contextTokens = contextTokens;
		this.#log = log;
		this.#options = options;
		this.server = http.createServer({
			maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: options.idleTimeoutMs, noDelay: true, requireHostHeader: false,
		}, (request, response) => {
			this.#onRequest(request, response);
		});
		this.server.on('connection', (socket: Socket) => {
			const connection = new CallerConnection(socket, (outcome, code) => {
				this.#rejectedRequests += outcome === 'in-time' ? 0 : 1;
				this.#log.info('client_error', {code, outcome});
			});
			this.#connections.set(socket, connection);
			socket.once('close', () => {
				this.#connections.delete(socket);
				// The HTTP server tells only the first of the pipelined responses that are due.
				for (const id of connection.openIds) {
					this.#onResponseClosed(id);
				}
			});
		});
		closeWhenIdle(this.server, socket => {
			this.#connections.get(socket)?.close();
		});
		this.server.on('connect', (_request: IncomingMessage, socket: Socket) => {
			this.#connections.get(socket)?.onTunnelRequest();
		});
		this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#connections.get(socket)?.onClientError(error);
		});
		bus.handle('respond', ({id, answer}) => {
			this.#respond(id, answer);
		});
	}

	/** The number of requests that were malformed, too long or broken off. */
	get rejectedRequests(): number {
		return this.#rejectedRequests;
	}

	/** Listens once a predecessor that drains has given the address up. */
	async listen(): Promise<void> {
		const {host: ip, port} = this.#options;
		await listen(this.server, {ip, port}, {
			maxMs: HAND_OVER_MS,
			onWaiting: (reason, waitedMs) => {
				this.#log.warn('address_unavailable', {address: `${ip}:${port}`, reason, waitedMs});
			},
		});
	}

	/** Hands over the connections that clients want to use for another protocol, unless an answer is due on them. */
	onUpgrade(handle: (request: IncomingMessage, socket: Socket, head: Buffer) => void): void {
		this.server.on('upgrade', (request: IncomingMessage, socket: Socket, head: Buffer) => {
			const connection = this.#connections.get(socket);
			if (connection === undefined) {
				socket.destroy();
			} else if (connection.isClosing || connection.unansweredRequests > 0) {
				connection.rejectSwitch('UPGRADE');
			} else {
				handle(request, socket, head);
			}
		});
	}

	/** Each response from now on closes its connection. */
	closeAfterResponses(): void {
		this.#isClosing = true;
	}

	/** Accepts no new connections; those that are open are still read, as a request may be on its way on each. */
	async stopAccepting(): Promise<void> {
		await stopListening(this.server, MAX_ACCEPT_MS);
	}

	/** Resolves when all open responses are written or broken off, or clients take too long to read them. */
	async waitForResponses(): Promise<void> {
		if (this.#openResponses.size > 0) {
			await Promise.race([sleep(MAX_WRITE_MS, undefined, {ref: false}), new Promise<void>(resolve => {
				this.#onNoneOpen.add(resolve);
			})]);
		}
	}

	/** Resolves when clients have closed their side of the connections that this daemon has closed, or take too long. */
	async waitForClients(): Promise<void> {
		const closing = [...this.#connections.keys()].filter(({writableEnded}) => writableEnded);
		await Promise.race([sleep(LINGER_MS, undefined, {ref: false}), Promise.all(closing.map(async socket => new Promise(resolve => {
			socket.once('close', resolve);
		})))]);
	}

	#onRequest(request: IncomingMessage, response: ServerResponse): void {
		const connection = this.#connections.get(request.socket)!;
		if (connection.isClosing) {
			// The answer to an earlier request closes the connection, so this request counts as not read.
			request.resume();
			return;
		}

		connection.onRequest(response);
		this.#readBody(request, response, body => {
			if (request.url?.startsWith(header.OWN_PATH_PREFIX)) {
				this.#closeIfStopping(response);
				this.#options.handleOwnEndpoint(request, body, response);
			} else {
				this.#acceptRequest(request, body, response);
			}
		});
	}

	#readBody(request: IncomingMessage, response: ServerResponse, onBody: (body: Buffer) => void): void {
		const collected = new BodyCollector();
		let length = 0;
		request.on('data', (chunk: Buffer) => {
			length += chunk.length;
			if (length <= this.#options.bodyBytes) {
				collected.add(chunk);
			} else if (!response.headersSent) {
				this.#reject(response, new RequestError(413, `body: longer than ${this.#options.bodyBytes} bytes`));
			}
		});
		request.on('end', () => {
			if (length <= this.#options.bodyBytes) {
				onBody(collected.toBuffer());
			}
		});
		request.on('error', () => {
			this.#rejectedRequests++;
		});
	}

	#acceptRequest(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
		let head: RequestHead;
		try {
			head = parseRequestHead(request);
		} catch (error) {
			this.#reject(response, error as RequestError);
			return;
		}

		if (this.#openResponses.size >= this.#options.requests) {
			this.#write(response, {outcome: 'not-run', reason: 'overload', retryAfterMs: 1000});
			return;
		}

		const id = this.#nextId++;
		this.#openResponses.set(id, response);
		this.#connections.get(request.socket)?.openIds.add(id);
		response.on('close', () => {
			this.#onResponseClosed(id);
		});
		const payload: HttpMessage = {
			method: head.method, path: head.path, headers: head.headers, body,
		};
		this.#bus.send({
			type: 'request',
			id,
			fromTarget: request.socket.remoteAddress === this.#options.host,
			context: head.context === undefined ? undefined : this.#contextTokens.decode(head.context),
			service: head.service,
			method: head.method,
			path: head.path,
			key: head.key,
			attempt: head.attempt,
			budgetMs: head.budgetMs,
			payload,
		});
	}

	#onResponseClosed(id: number): void {
		const response = this.#openResponses.get(id);
		if (response === undefined) {
			return;
		}

		this.#openResponses.delete(id);
		this.#connections.get(response.req.socket)?.openIds.delete(id);
		if (!response.writableFinished) {
			this.#bus.send({type: 'abandon', id});
		}

		if (this.#openResponses.size === 0) {
			for (const resolve of this.#onNoneOpen) {
				resolve();
			}

			this.#onNoneOpen.clear();
		}
	}

	#respond(id: number, answer: Answer): void {
		const response = this.#openResponses.get(id);
		if (response !== undefined) {
			this.#write(response, answer);
		}
	}

	#write(response: ServerResponse, answer: Answer): void {
		if (response.headersSent || response.destroyed) {
			return;
		}

		const {status, headers, body} = buildHttpAnswer(answer);
		this.#closeIfStopping(response);

		try {
			response.writeHead(status, headers);
		} catch (error) {
			this.#writeUnwritable(response, error as Error);
			return;
		}

		response.end(body);
	}

	#closeIfStopping(response: ServerResponse): void {
		if (this.#isClosing) {
			this.#connections.get(response.req.socket)?.tryCloseAfter(response);
		}
	}

	// A peer or a target may send what HTTP can't carry; what it answers has run.
	#writeUnwritable(response: ServerResponse, {message}: Error): void {
		this.#log.warn('answer_unwritable', {reason: message});
		for (const name of response.getHeaderNames()) {
			response.removeHeader(name);
		}

		const {status, headers, body} = buildHttpAnswer(createUnknownAnswer('lost'));
		response.writeHead(status, headers);
		response.end(body);
	}

	#reject(response: ServerResponse, error: RequestError): void {
		this.#rejectedRequests++;
		this.#log.warn('request_rejected', {status: error.status, reason: error.message});
		const body = JSON.stringify({
			type: 'about:blank', title: 'The request was not run', status: error.status, detail: error.message, outcome: 'not-run',
		});
		this.#connections.get(response.req.socket)?.tryCloseAfter(response);
		response.writeHead(error.status, {
			'content-type': 'application/problem+json',
			'content-length': Buffer.byteLength(body),
			[header.OUTCOME]: 'not-run',
		});
		response.end(body);
	}
}
