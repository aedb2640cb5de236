import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type HeaderNames} from './adapter.js';
import {type AnswerHead} from './call.js';

/** What a reply needs of the server that it is written by. */
export type ResponseWriterContext = {
	readonly names: HeaderNames;
	/** Called before an answer's head is written. */
	readonly prepare: (response: ServerResponse) => void;
	/** Makes an answer end with its connection. @returns whether that cuts no other answer off */
	readonly closeAfter: (response: ServerResponse) => boolean;
};

/** Writes the one answer of a client's request. */
export class ResponseWriter {
	readonly #parts: ResponseWriterContext;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #attemptId: string;

	constructor(parts: ResponseWriterContext, request: IncomingMessage, response: ServerResponse, attemptId: string) {
		this.#parts = parts;
		this.#request = request;
		this.#response = response;
		this.#attemptId = attemptId;
	}

	/** Whether an answer that ends with its connection can be given. */
	tryCloseAfterResponse(): boolean {
		return this.#parts.closeAfter(this.#response);
	}

	/** The head of the target's answer; `wholeBytes` is its body's length if all of it is here. */
	writeHead(head: AnswerHead, wholeBytes: number | undefined): void {
		const {names} = this.#parts;
		const headers = [...head.headers, names.attemptId, this.#attemptId];
		if (head.signature !== undefined) {
			headers.push(names.signature, head.signature);
		}

		const length = this.#request.method === 'HEAD' ? head.lengthBytes : (wholeBytes ?? head.lengthBytes);
		if (head.isUnframed) {
			// It ends with the connection here, too: a length would call it whole.
			this.#response.useChunkedEncodingByDefault = false;
		} else if (length !== undefined && head.status !== 204 && head.status !== 304) {
			headers.push('content-length', String(length));
		}

		this.#parts.prepare(this.#response);
		this.#response.writeHead(head.status, headers);
	}

	/** @param onTaken called once the client's connection has taken the piece */
	write(bytes: Buffer, onTaken: () => void): void {
		this.#response.write(bytes, onTaken);
	}

	end(bytes: Buffer): void {
		this.#response.end(bytes);
	}

	/** An answer of the daemon's own, without a body. */
	sendEmpty(status: number, headers: readonly string[]): void {
		this.#parts.prepare(this.#response);
		this.#response.writeHead(status, [...headers, this.#parts.names.attemptId, this.#attemptId, 'content-length', '0']);
		this.#response.end();
	}

	/** The connection ends after the next answer: not all of the request was read. */
	disableKeepAlive(): void {
		this.#response.shouldKeepAlive = false;
	}

	/** Breaks an answer off by a reset: one without a length would look whole otherwise. */
	resetConnection(): void {
		this.#request.socket.resetAndDestroy();
	}
}
