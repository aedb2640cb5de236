import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Answer} from '../core/index.js';
import {type HttpMessage, header} from '../wire/index.js';
import {type Logger} from '../log/index.js';
import {buildHttpAnswer} from './answer.js';
import {type MessageBus} from './messagebus.js';
import {type ContextTokens} from './contexttokens.js';
import {RequestError} from './requesterror.js';
import {type RequestHead, parseRequestHead} from './request.js';

const HEADER_BYTES = 32_768;
const IDLE_CONNECTION_MS = 65_000;

/** Where and how much a listener takes. */
export type RequestServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly bodyBytes: number;
	readonly requests: number;
	/** Takes the requests for the daemon's own endpoints. */
	readonly handleOwnEndpoint: OwnEndpointHandler;
};

/** Handles a request for one of the daemon's own endpoints. */
export type OwnEndpointHandler = (request: IncomingMessage, body: Buffer, response: ServerResponse) => void;

/** Owns the callers' sockets: turns HTTP requests into inputs and answers into responses. */
export class RequestServer {
	readonly server: http.Server;
	readonly #bus: MessageBus;
	readonly #contexts: ContextTokens;
	readonly #log: Logger;
	readonly #options: RequestServerOptions;
	readonly #open = new Map<number, ServerResponse>();
	#nextId = 1;
	#closing = false;
	#rejected = 0;

	constructor(bus: MessageBus, contexts: ContextTokens, log: Logger, options: RequestServerOptions) {
		this.#bus = bus;
		this.#contexts = contexts;
		this.#log = log;
		this.#options = options;
		this.server = http.createServer({
			maxHeaderSize: HEADER_BYTES, keepAliveTimeout: IDLE_CONNECTION_MS, noDelay: true,
		}, (request, response) => {
			this.#onRequest(request, response);
		});
		this.server.on('clientError', (error, socket) => {
			this.#rejected++;
			socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n');
		});
		void bus.outputs('respond').observe(({id, answer}) => {
			this.#respond(id, answer);
		});
	}

	/** Requests that were too malformed to be read. */
	get rejectedRequests(): number {
		return this.#rejected;
	}

	async listen(): Promise<void> {
		const {host, port} = this.#options;
		return new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(port, host, () => {
				this.server.off('error', reject);
				resolve();
			});
		});
	}

	/** Takes no new connections; every response from now on closes its own. */
	stopAccepting(): void {
		this.#closing = true;
		this.server.close();
		this.server.closeIdleConnections();
	}

	/** Resolves when every response has been handed to its socket. */
	async waitForResponses(): Promise<void> {
		this.server.closeIdleConnections();
		await Promise.all([...this.#open.values()].map(async response => new Promise(resolve => {
			response.once('close', resolve);
		})));
	}

	#onRequest(request: IncomingMessage, response: ServerResponse): void {
		if (this.#closing) {
			response.setHeader('connection', 'close');
		}

		this.#collect(request, response, body => {
			if (request.url?.startsWith(header.OWN_PATH_PREFIX)) {
				this.#options.handleOwnEndpoint(request, body, response);
			} else {
				this.#take(request, body, response);
			}
		});
	}

	#collect(request: IncomingMessage, response: ServerResponse, done: (body: Buffer) => void): void {
		const chunks: Buffer[] = [];
		let length = 0;
		request.on('data', (chunk: Buffer) => {
			length += chunk.length;
			if (length <= this.#options.bodyBytes) {
				chunks.push(chunk);
			} else if (!response.headersSent) {
				this.#reject(response, new RequestError(413, `body: longer than ${this.#options.bodyBytes} bytes`));
			}
		});
		request.on('end', () => {
			if (length <= this.#options.bodyBytes) {
				done(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
			}
		});
		request.on('error', () => {
			this.#rejected++;
		});
	}

	#take(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
		let head: RequestHead;
		try {
			head = parseRequestHead(request);
		} catch (error) {
			this.#reject(response, error as RequestError);
			return;
		}

		if (this.#open.size >= this.#options.requests) {
			this.#write(response, {outcome: 'not-run', reason: 'overload', retryAfterMs: 1000});
			return;
		}

		const id = this.#nextId++;
		this.#open.set(id, response);
		response.on('close', () => {
			this.#open.delete(id);
			if (!response.writableFinished) {
				this.#bus.send({type: 'abandon', id});
			}
		});
		const payload: HttpMessage = {
			method: head.method, path: head.path, headers: head.headers, body,
		};
		this.#bus.send({
			type: 'request',
			id,
			fromTarget: request.socket.remoteAddress === this.#options.host,
			context: head.context === undefined ? undefined : this.#contexts.decode(head.context),
			service: head.service,
			method: head.method,
			path: head.path,
			key: head.key,
			attempt: head.attempt,
			budgetMs: head.budgetMs,
			payload,
		});
	}

	#respond(id: number, answer: Answer): void {
		const response = this.#open.get(id);
		if (response !== undefined) {
			this.#write(response, answer);
		}
	}

	#write(response: ServerResponse, answer: Answer): void {
		if (response.headersSent || response.destroyed) {
			return;
		}

		const {status, headers, body} = buildHttpAnswer(answer);
		if (this.#closing) {
			headers.push('connection', 'close');
		}

		response.writeHead(status, headers);
		response.end(body);
	}

	#reject(response: ServerResponse, error: RequestError): void {
		this.#rejected++;
		this.#log.warn('request_rejected', {status: error.status, reason: error.message});
		const body = JSON.stringify({
			type: 'about:blank', title: 'The request was not run', status: error.status, detail: error.message, outcome: 'not-run',
		});
		response.writeHead(error.status, {
			'content-type': 'application/problem+json',
			'content-length': Buffer.byteLength(body),
			[header.OUTCOME]: 'not-run',
			connection: 'close',
		});
		response.end(body);
	}
}
