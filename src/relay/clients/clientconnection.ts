import {type Socket} from 'node:net';
import {type Exchange} from './exchange.js';

/** How long the first request may take to follow its connection, in ms: some round trips. */
const FIRST_BYTE_MS = 200;

/** A client's connection, with the requests on it that aren't answered. */
export class ClientConnection {
	readonly exchanges = new Set<Exchange>();
	/** Whether the connection closes after an answer that has begun. */
	isClosing = false;
	readonly #socket: Socket;
	readonly #acceptedMs: number;
	#unansweredRequests = 0;
	/** The bytes that had been read when the last answer was written. */
	#answeredBytes = 0;

	constructor(socket: Socket, acceptedMs: number) {
		this.#socket = socket;
		this.#acceptedMs = acceptedMs;
	}

	/** The number of requests whose answers aren't yet fully written to the socket. */
	get unansweredRequests(): number {
		return this.#unansweredRequests;
	}

	onRequest(): void {
		this.#unansweredRequests++;
	}

	onAnswerWritten(): void {
		this.#unansweredRequests--;
		this.#answeredBytes = this.#socket.bytesRead;
	}

	/** Whether the client waits for an answer, or is about to send a request: one that came just now, or part of a head. */
	isInUse(nowMs: number): boolean {
		if (this.#unansweredRequests > 0) {
			return true;
		}

		const {bytesRead} = this.#socket;
		return !this.isClosing && (bytesRead === 0 ? nowMs - this.#acceptedMs < FIRST_BYTE_MS : bytesRead > this.#answeredBytes);
	}
}
