import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {MAX_INLINE_BODY_BYTES, BODY_WINDOW_BYTES} from './call.js';

const EMPTY = Buffer.alloc(0);

/** Told how the reading of a request's body goes. */
export abstract class BodyListener {
	/** The body is here, or as much of it as travels in one piece. */
	abstract onReady(): void;
	/** Another piece of a streamed body. */
	abstract onChunk(bytes: Buffer, isLast: boolean): void;
	abstract onTooLarge(): void;
}

/** The body of a client's request: held whole if it is small, else passed on in pieces within a window. */
export class RequestBody {
	readonly #request: IncomingMessage;
	#first: Buffer = EMPTY;
	#isStreaming = false;
	#creditBytes = BODY_WINDOW_BYTES;

	constructor(request: IncomingMessage) {
		this.#request = request;
	}

	/** The whole body, or its first piece. */
	get firstChunk(): Buffer {
		return this.#first;
	}

	/** Whether more follows than the first piece; such a request can be sent only once. */
	get isStreaming(): boolean {
		return this.#isStreaming;
	}

	read(maxBytes: number, events: BodyListener): void {
		const chunks: Buffer[] = [];
		let length = 0;
		this.#request.on('data', (chunk: Buffer) => {
			length += chunk.length;
			if (length > maxBytes) {
				events.onTooLarge();
			} else if (this.#isStreaming) {
				this.#pass(chunk, events);
			} else {
				chunks.push(chunk);
				if (length > MAX_INLINE_BODY_BYTES) {
					this.#first = Buffer.concat(chunks);
					this.#isStreaming = true;
					this.#creditBytes -= length;
					events.onReady();
				}
			}
		});
		this.#request.on('end', () => {
			if (this.#isStreaming) {
				events.onChunk(EMPTY, true);
			} else {
				this.#first = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
				events.onReady();
			}
		});
	}

	/** The receiver can take more. */
	grantCredit(bytes: number): void {
		this.#creditBytes += bytes;
		if (this.#creditBytes > 0) {
			this.#request.resume();
		}
	}

	#pass(chunk: Buffer, events: BodyListener): void {
		this.#creditBytes -= chunk.length;
		events.onChunk(chunk, false);
		if (this.#creditBytes <= 0) {
			this.#request.pause();
		}
	}
}
