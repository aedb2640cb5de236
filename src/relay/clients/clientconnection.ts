import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {ClosingAnswer, closeLingering, lingerOnClose} from '../../wire/index.js';
import {type Exchange} from './exchange.js';

/** How long a request may take to follow its connection, or the answer before it, in ms: some round trips. */
const NEXT_REQUEST_MS = 200;

/** A client's connection, with the requests on it that aren't answered. */
export class ClientConnection {
	readonly exchanges = new Set<Exchange>();
	readonly #socket: Socket;
	readonly #nowMs: () => number;
	/** When the connection was accepted, or its last answer written. */
	#unusedSinceMs: number;
	#unansweredRequests = 0;
	/** The bytes that had been read when the last answer was written. */
	#answeredBytes = 0;
	readonly #closingAnswer = new ClosingAnswer();
	#isClosed = false;
	#ignoredRequests = 0;
	#endedBy: 'client' | 'daemon' | undefined;
	#errorCode = 'none';

	constructor(socket: Socket, nowMs: () => number) {
		this.#socket = socket;
		this.#nowMs = nowMs;
		this.#unusedSinceMs = nowMs();
		lingerOnClose(socket);
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
		const unansweredBytes = this.#socket.bytesRead - this.#answeredBytes;
		return this.#unansweredRequests === 0 && unansweredBytes === 0
			? undefined
			: {
				by: this.#endedBy ?? 'daemon', error: this.#errorCode, unanswered: this.#unansweredRequests, ignored: this.#ignoredRequests, unansweredBytes,
			};
	}

	/** The number of requests whose answers aren't yet fully written to the socket. */
	get unansweredRequests(): number {
		return this.#unansweredRequests;
	}

	/** Whether the connection has been closed, or will be after the last of its answers: what the client sends now counts as not read. */
	get isClosing(): boolean {
		return this.#isClosed || this.#closingAnswer.isSettled;
	}

	onRequest(response: ServerResponse): void {
		this.#unansweredRequests++;
		this.#closingAnswer.onRequest(response);
	}

	/** Counts a request that came while the connection was closing. */
	onIgnoredRequest(): void {
		this.#ignoredRequests++;
	}

	onAnswerWritten(): void {
		this.#unansweredRequests--;
		this.#answeredBytes = this.#socket.bytesRead;
		this.#unusedSinceMs = this.#nowMs();
		if (this.#isClosed) {
			this.close();
		}
	}

	/** Whether requests behind the one of this answer have been read. */
	hasFollowers(response: ServerResponse): boolean {
		return this.#closingAnswer.hasFollowers(response);
	}

	/** Closes the connection after this answer. @returns false, without effect, if other answers follow it or its head has been written */
	tryCloseAfter(response: ServerResponse): boolean {
		return this.#closingAnswer.trySettle(response);
	}

	/** Closes the connection unless it is in use. */
	closeIfUnused(): void {
		if (!this.isInUse()) {
			this.close();
		}
	}

	/** Closes the connection once the answers that are due on it are written. */
	close(): void {
		this.#isClosed = true;
		if (this.#unansweredRequests === 0) {
			closeLingering(this.#socket);
		}
	}

	/** Whether the client waits for an answer, or is about to send a request: one that came just now, or got its answer just now, or part of a head; or hasn't closed its side yet. */
	isInUse(): boolean {
		if (this.#unansweredRequests > 0 || this.#socket.writableEnded) {
			return true;
		}

		return !this.isClosing && (this.#socket.bytesRead > this.#answeredBytes || this.#nowMs() - this.#unusedSinceMs < NEXT_REQUEST_MS);
	}
}
