import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {closeLingering, lingerOnClose} from './lingeringclose.js';

/**
 * Owns a client's connection to an HTTP server: it knows which answers are due on it and whether it is closing, and alone closes it.
 * Pipelined requests are answered in their order, so the answer to the request that was read last is the one that can close it.
 */
export class ServerConnection {
	protected readonly socket: Socket;
	#lastResponse: ServerResponse | undefined;
	#unansweredRequests = 0;
	#isSettled = false;
	#isClosed = false;

	constructor(socket: Socket) {
		this.socket = socket;
		lingerOnClose(socket);
	}

	/** The number of requests whose answers aren't yet fully written to the socket. */
	get unansweredRequests(): number {
		return this.#unansweredRequests;
	}

	/** Whether the connection has been closed, or will be after the last of its answers: what the client sends now counts as not read. */
	get isClosing(): boolean {
		return this.#isSettled;
	}

	/** Records a request that is going to be answered. */
	onRequest(response: ServerResponse): void {
		this.#lastResponse = response;
		this.#unansweredRequests++;
		response.on('finish', () => {
			this.#unansweredRequests--;
			this.onAnswerWritten();
			if (this.#isClosed) {
				this.close();
			}
		});
	}

	/** Whether requests behind the one of this answer have been read. */
	hasFollowers(response: ServerResponse): boolean {
		return response !== this.#lastResponse;
	}

	/** Closes the connection after this answer. @returns false, without effect, if other answers follow it, or if its head has been written without saying so */
	tryCloseAfter(response: ServerResponse): boolean {
		if (this.hasFollowers(response) || response.headersSent) {
			return false;
		}

		this.#isSettled = true;
		response.shouldKeepAlive = false;
		return true;
	}

	/** Closes the connection once the answers that are due on it are written. */
	close(): void {
		this.#isSettled = true;
		this.#isClosed = true;
		if (this.#unansweredRequests === 0) {
			closeLingering(this.socket);
		}
	}

	/** Called when an answer is fully written to the socket. */
	protected onAnswerWritten(): void {
		// For subclasses.
	}
}
