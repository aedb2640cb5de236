import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {afterSockets} from '../clock/index.js';
import {closeLingering, lingerOnClose} from './lingeringclose.js';

/** The HTTP server's code of a request that isn't complete in time. */
const LATE_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
/** The code of a request for a tunnel. */
const TUNNEL_CODE = 'CONNECT';
/** What is done about an error that the HTTP server reports of a connection: it is answered in its turn, ends the connection at once, or was none because the request has come. */
export type ClientErrorOutcome = 'rejected' | 'destroyed' | 'in-time';

/** Is told what is done about an error with this code. */
export type OnClientError = (outcome: ClientErrorOutcome, code: string) => void;

/**
 * Owns a client's connection to an HTTP server: it knows which answers are due on it and whether it is closing, and alone closes it.
 * Pipelined requests are answered in their order, so the answer to the request that was read last is the one that can close it.
 */
export class ServerConnection {
	protected readonly socket: Socket;
	readonly #onClientError: OnClientError;
	#lastResponse: ServerResponse | undefined;
	#unansweredRequests = 0;
	#isSettled = false;
	/** The status line of the answer that is due to what followed the last request and isn't one. */
	#rejection: string | undefined;
	#isClosed = false;

	constructor(socket: Socket, onClientError: OnClientError) {
		this.socket = socket;
		this.#onClientError = onClientError;
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
		// The client asked for it, so it sends no further requests.
		this.#isSettled ||= !response.shouldKeepAlive;
		response.on('finish', () => {
			this.#unansweredRequests--;
			this.onAnswerWritten();
			this.#closeIfDue();
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
		this.#closeIfDue();
	}

	/**
	 * Handles an error that the HTTP server reports of the connection. What isn't a request is answered in its turn, and the connection
	 * closes then; whatever is read behind it counts as not read.
	 */
	onClientError({code = 'unknown'}: NodeJS.ErrnoException): void {
		const isClientGone = code === 'ECONNRESET' || (this.socket.readableEnded && this.#unansweredRequests > 0);
		if (isClientGone || (code !== LATE_CODE && this.#isBodyDue)) {
			this.#destroy(code);
		} else if (this.#isSettled || this.socket.writableEnded) {
			// Belongs to what counts as not read.
		} else if (code === LATE_CODE) {
			this.#judgeLateness();
		} else {
			this.#reject(code);
		}
	}

	/** Handles a request for a tunnel, with which the HTTP server gives the connection up: it is rejected in its turn. */
	onTunnelRequest(): void {
		this.rejectSwitch(TUNNEL_CODE);
	}

	/** Rejects a request for another protocol, with which the HTTP server gives the connection up, once the answers that are due are written. */
	rejectSwitch(code: string): void {
		// The HTTP server's own listeners are gone.
		this.socket.on('error', () => undefined);
		this.socket.resume();
		if (!this.#isSettled) {
			this.#reject(code);
		}
	}

	/** The status line of the answer to what isn't a request, by the HTTP server's code. */
	protected rejectionStatus(code: string): string {
		switch (code) {
			case LATE_CODE: {
				return '408 Request Timeout';
			}

			case TUNNEL_CODE: {
				return '501 Not Implemented';
			}

			default: {
				return '400 Bad Request';
			}
		}
	}

	/** Called when an answer is fully written to the socket. */
	protected onAnswerWritten(): void {
		// For subclasses.
	}

	/** Whether part of a request is missing that its answer depends on. */
	get #isBodyDue(): boolean {
		return this.#lastResponse?.req.complete === false && !this.#lastResponse.writableEnded;
	}

	/** The HTTP server checks what is late before its sockets are read: if this process was held up, the request may have come. */
	#judgeLateness(): void {
		const {bytesRead} = this.socket;
		const lastResponse = this.#lastResponse;
		const isBodyLate = lastResponse?.req.complete === false;
		afterSockets(() => {
			const hasBegun = bytesRead === 0 && this.socket.bytesRead > 0;
			const hasCome = this.#lastResponse !== lastResponse || (isBodyLate && lastResponse.req.complete);
			if (this.#isSettled || this.socket.destroyed) {
				return;
			}

			if (hasBegun || hasCome) {
				this.#onClientError('in-time', LATE_CODE);
			} else if (this.#isBodyDue) {
				this.#destroy(LATE_CODE);
			} else {
				this.#reject(LATE_CODE);
			}
		});
	}

	#destroy(code: string): void {
		this.#onClientError('destroyed', code);
		this.socket.destroy();
	}

	#reject(code: string): void {
		this.#onClientError('rejected', code);
		this.#isSettled = true;
		this.#isClosed = true;
		// The rest of a body belongs to a request that has its answer.
		if (this.#lastResponse?.req.complete !== false) {
			this.#rejection = this.rejectionStatus(code);
		}

		this.#closeIfDue();
	}

	#closeIfDue(): void {
		if (!this.#isClosed || this.#unansweredRequests > 0) {
			return;
		}

		if (this.#rejection !== undefined && this.socket.writable) {
			this.socket.write(`HTTP/1.1 ${this.#rejection}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
		}

		closeLingering(this.socket);
	}
}
