import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type HeaderNames} from '../adapter.js';
import {type AnswerHead} from '../call.js';
import {type HoldBudget} from './holdbudget.js';

/** The largest part of one answer without a length that is held back, in bytes. */
const MAX_HELD_BYTES = 1_048_576;

/** What a response writer needs from the server that it belongs to. */
export type ResponseWriterContext = {
	readonly names: HeaderNames;
	/** Called before the head of an answer is written. */
	readonly onBeforeHead: (response: ServerResponse) => void;
	/** Closes the connection after an answer. @returns false, without effect, if other answers on the connection would be cut off */
	readonly tryCloseAfter: (response: ServerResponse) => boolean;
	/** Whether requests behind the one of this answer have been read from its connection. */
	readonly hasFollowers: (response: ServerResponse) => boolean;
	readonly holdBudget: HoldBudget;
};

/** Writes the single answer to a client's request. */
export class ResponseWriter {
	readonly #context: ResponseWriterContext;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #attemptId: string;
	/** What is to be written once the answers before this one on the connection are; undefined if nothing waits for them. */
	#waiting: Array<() => void> | undefined;
	#isHeld = false;
	#heldBytes = 0;

	constructor(context: ResponseWriterContext, request: IncomingMessage, response: ServerResponse, attemptId: string) {
		this.#context = context;
		this.#request = request;
		this.#response = response;
		this.#attemptId = attemptId;
	}

	/** Whether the answer is held back until it is whole. */
	get isHeld(): boolean {
		return this.#isHeld;
	}

	/** Closes the connection after the answer, because its end marks the end of the body or part of the request remains unread. @returns whether that is possible */
	tryCloseAfterResponse(): boolean {
		return this.#context.tryCloseAfter(this.#response);
	}

	/**
	 * Writes the head of the target's answer. Some are held back until they are whole, within bounds: one without a length, because
	 * if this process crashed in the middle of it, the end of the connection would make a part of it look whole to the client; and
	 * one with others behind it on its connection, because if it broke off, the reset of the connection would take them along.
	 * @param wholeBytes the length of the body in bytes, if all of it has arrived
	 */
	writeHead(head: AnswerHead, wholeBytes: number | undefined): void {
		this.#isHeld = wholeBytes === undefined && (head.isUnframed || this.#context.hasFollowers(this.#response));
		if (this.#isHeld || (wholeBytes === undefined && !this.#isItsTurn)) {
			this.#waiting = [];
			this.#response.once('socket', () => {
				this.#writeInTurn();
			});
		}

		this.#writeOrWait(() => {
			this.#writeHead(head, wholeBytes);
		});
	}

	/** @param onWritten called once the client's connection, or the memory of what is held back, has accepted the chunk */
	write(bytes: Buffer, onWritten: () => void): void {
		this.#isHeld &&= this.#heldBytes + bytes.length <= MAX_HELD_BYTES && this.#context.holdBudget.tryTake(bytes.length);
		if (!this.#isHeld) {
			this.#writeInTurn();
			this.#writeOrWait(() => {
				this.#response.write(bytes, onWritten);
			});
			return;
		}

		this.#heldBytes += bytes.length;
		this.#writeOrWait(() => {
			this.#response.write(bytes);
		});
		onWritten();
	}

	end(bytes: Buffer): void {
		// The answer is whole, so nothing is left that could fail.
		this.#writeWaiting();
		this.#response.end(bytes);
	}

	/** Discards the answer if nothing of it has been written, so that another can take its place. @returns whether that is so */
	tryDiscard(): boolean {
		return this.#takeWaiting() !== undefined;
	}

	/** Sends an answer of the daemon itself, without a body. */
	sendEmpty(status: number, headers: readonly string[]): void {
		this.#context.onBeforeHead(this.#response);
		this.#response.writeHead(status, [...headers, this.#context.names.attemptId, this.#attemptId, 'content-length', '0']);
		this.#response.end();
	}

	/** Aborts the answer by a connection reset: an answer without a length would look complete after a regular close. */
	resetConnection(): void {
		this.#request.socket.resetAndDestroy();
	}

	#writeHead(head: AnswerHead, wholeBytes: number | undefined): void {
		const {names} = this.#context;
		const headers = [...head.headers, names.attemptId, this.#attemptId];
		if (head.signature !== undefined) {
			headers.push(names.signature, head.signature);
		}

		const length = this.#request.method === 'HEAD' ? head.lengthBytes : (wholeBytes ?? head.lengthBytes);
		if (head.isUnframed) {
			// The end of the connection marks the end of the body here too: with a length, a truncated body would look complete.
			this.#response.useChunkedEncodingByDefault = false;
		} else if (length !== undefined && head.status !== 204 && head.status !== 304) {
			headers.push('content-length', String(length));
		}

		this.#context.onBeforeHead(this.#response);
		this.#response.writeHead(head.status, headers);
	}

	/** Whether the answers before this one on the connection are written. */
	get #isItsTurn(): boolean {
		return this.#response.socket !== null;
	}

	#writeOrWait(write: () => void): void {
		if (this.#waiting === undefined) {
			write();
		} else {
			this.#waiting.push(write);
		}
	}

	#writeInTurn(): void {
		if (this.#isItsTurn && !this.#isHeld) {
			this.#writeWaiting();
		}
	}

	#writeWaiting(): void {
		for (const write of this.#takeWaiting() ?? []) {
			write();
		}
	}

	#takeWaiting(): Array<() => void> | undefined {
		const waiting = this.#waiting;
		this.#waiting = undefined;
		this.#isHeld = false;
		this.#context.holdBudget.giveBack(this.#heldBytes);
		this.#heldBytes = 0;
		return waiting;
	}
}
