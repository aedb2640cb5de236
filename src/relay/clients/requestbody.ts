import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {BodyCollector} from '../../wire/index.js';
import {ChunkMerger} from '../chunkmerger.js';
import {MAX_INLINE_BODY_BYTES, BODY_WINDOW_BYTES} from '../call.js';

const EMPTY = Buffer.alloc(0);

/** Receives the events of reading a request's body. */
export abstract class BodyListener {
	/** Called when the whole body, or its first chunk if it is streamed, has arrived. */
	abstract onReady(): void;
	/** Called with each further chunk of a streamed body. */
	abstract onChunk(bytes: Buffer, isLast: boolean): void;
	abstract onTooLarge(): void;
}

/** The body of a client's request: buffered whole if it is small, otherwise streamed in chunks within a flow-control window. */
export class RequestBody {
	readonly #request: IncomingMessage;
	#firstChunk: Buffer = EMPTY;
	#merger: ChunkMerger | undefined;
	#isStreaming = false;
	#isDropped = false;
	#creditBytes = BODY_WINDOW_BYTES;

	constructor(request: IncomingMessage) {
		this.#request = request;
	}

	/** The whole body, or its first chunk if it is streamed. */
	get firstChunk(): Buffer {
		return this.#firstChunk;
	}

	/** Whether chunks follow the first one; such a request can be sent only once, as they aren't kept. */
	get isStreaming(): boolean {
		return this.#isStreaming;
	}

	read(maxBytes: number, events: BodyListener): void {
		const inline = new BodyCollector();
		let length = 0;
		this.#request.on('data', (chunk: Buffer) => {
			length += chunk.length;
			if (length > maxBytes) {
				// Only the chunk that crosses the limit is reported; the rest is read and dropped.
				if (length - chunk.length <= maxBytes) {
					events.onTooLarge();
				}
			} else if (this.#isStreaming) {
				this.#forward(chunk);
			} else {
				inline.add(chunk);
				if (length > MAX_INLINE_BODY_BYTES) {
					this.#merger = new ChunkMerger(merged => {
						events.onChunk(merged, false);
					});
					this.#firstChunk = inline.toBuffer();
					this.#isStreaming = true;
					this.#creditBytes -= length;
					events.onReady();
				}
			}
		});
		this.#request.on('end', () => {
			if (this.#isStreaming) {
				this.#merger?.flush();
				events.onChunk(EMPTY, true);
			} else {
				this.#firstChunk = inline.toBuffer();
				events.onReady();
			}
		});
	}

	/** Adds flow-control credit: the receiver can accept this many more bytes. */
	grantCredit(bytes: number): void {
		this.#creditBytes += bytes;
		if (this.#creditBytes > 0) {
			this.#request.resume();
		}
	}

	/** Reads and discards the rest of the body, so that the next request on the connection can be read. */
	drop(): void {
		this.#isDropped = true;
		this.#merger?.close();
		this.#merger = undefined;
		this.#request.resume();
	}

	#forward(chunk: Buffer): void {
		this.#creditBytes -= chunk.length;
		this.#merger?.add(chunk);
		if (this.#creditBytes <= 0 && !this.#isDropped) {
			this.#request.pause();
		}
	}
}
