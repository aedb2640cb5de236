import {type Socket} from 'node:net';
import {type OnClientError, ServerConnection} from '../../wire/index.js';
import {type Exchange} from './exchange.js';

/** How long a request may take to follow its connection, or the answer before it, in ms: some round trips. */
const NEXT_REQUEST_MS = 200;

/** How many requests of a connection may have started without their answers being written: each may hold an answer in memory until its turn. */
const MAX_STARTED_REQUESTS = 32;

/** The HTTP server's code of a head that is too large. */
const OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';

/** A client's connection, with the requests on it that aren't answered. */
export class ClientConnection extends ServerConnection {
	readonly exchanges = new Set<Exchange>();
	/** How the requests start that wait for answers before their own, in their order. */
	readonly #deferred = new Map<Exchange, () => void>();
	readonly #nowMs: () => number;
	/** When the connection was accepted, or its last answer written. */
	#unusedSinceMs: number;
	/** The bytes that had been read when the last answer was written. */
	#answeredBytes = 0;
	#ignoredRequests = 0;
	#endedBy: 'client' | 'daemon' | undefined;
	#errorCode = 'none';

	constructor(socket: Socket, nowMs: () => number, onClientError: OnClientError) {
		super(socket, onClientError);
		this.#nowMs = nowMs;
		this.#unusedSinceMs = nowMs();
		// Before the HTTP server, which ends its side then.
		socket.prependListener('end', () => {
			this.#endedBy ??= socket.writableEnded ? 'daemon' : 'client';
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			this.#endedBy ??= 'client';
			this.#errorCode = error.code ?? 'unknown';
		});
	}

	/** How the connection ended, if it left anything that it had read without an answer. `ignored` requests came behind the answer that closed it. */
	get loss(): {by: 'client' | 'daemon'; error: string; unanswered: number; ignored: number; unansweredBytes: number} | undefined {
		const unansweredBytes = this.socket.bytesRead - this.#answeredBytes;
		return this.unansweredRequests === 0 && unansweredBytes === 0
			? undefined
			: {
				by: this.#endedBy ?? 'daemon', error: this.#errorCode, unanswered: this.unansweredRequests, ignored: this.#ignoredRequests, unansweredBytes,
			};
	}

	/**
	 * Defers the start of a request while an answer before its own may break off, and end the connection with it, or while too many
	 * answers before its own aren't written. @returns whether it does
	 */
	tryDefer(exchange: Exchange, start: () => void): boolean {
		// The request itself isn't answered either.
		if (this.unansweredRequests - this.#deferred.size > MAX_STARTED_REQUESTS || this.#isBehindBreakable(exchange)) {
			this.#deferred.set(exchange, start);
			return true;
		}

		return false;
	}

	/** Removes a request that has its answer, and starts those that were deferred, unless other answers keep them. */
	onExchangeEnded(exchange: Exchange): void {
		this.exchanges.delete(exchange);
		this.#deferred.delete(exchange);
		this.#startDeferred();
	}

	/** Counts a request that came while the connection was closing. */
	onIgnoredRequest(): void {
		this.#ignoredRequests++;
	}

	/** Closes the connection unless it is in use. */
	closeIfUnused(): void {
		if (!this.isInUse()) {
			this.close();
		}
	}

	/** Whether the client waits for an answer, or is about to send a request: one that came just now, or got its answer just now, or part of a head; or hasn't closed its side yet. */
	isInUse(): boolean {
		if (this.unansweredRequests > 0 || this.socket.writableEnded) {
			return true;
		}

		return !this.isClosing && (this.socket.bytesRead > this.#answeredBytes || this.#nowMs() - this.#unusedSinceMs < NEXT_REQUEST_MS);
	}

	protected override rejectionStatus(code: string): string {
		return code === OVERFLOW_CODE ? '431 Request Header Fields Too Large' : super.rejectionStatus(code);
	}

	protected override onAnswerWritten(): void {
		this.#answeredBytes = this.socket.bytesRead;
		this.#unusedSinceMs = this.#nowMs();
		this.#startDeferred();
	}

	#isBehindBreakable(exchange: Exchange): boolean {
		for (const previous of this.exchanges) {
			if (previous === exchange) {
				return false;
			}

			if (previous.mayBreakConnection) {
				return true;
			}
		}

		return false;
	}

	#startDeferred(): void {
		if (this.socket.destroyed) {
			return;
		}

		for (const [exchange, start] of this.#deferred) {
			if (this.unansweredRequests - this.#deferred.size >= MAX_STARTED_REQUESTS || this.#isBehindBreakable(exchange)) {
				return;
			}

			this.#deferred.delete(exchange);
			start();
		}
	}
}
