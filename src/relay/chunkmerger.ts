import {type Buffer} from 'node:buffer';
import {BodyCollector} from '../wire/index.js';

/** Chunks that are shorter are merged, in bytes. */
const SMALL_CHUNK_BYTES = 4096;
/** Merged chunks are passed on at this size, in bytes, and at the latest after a time, in ms. */
const MERGED_BYTES = 16_384;
const MERGE_MS = 5;

/**
 * Passes a streamed body on, and merges small chunks that follow each other closely. Each chunk costs a frame and a place in
 * every buffer on its way, so that a body in chunks of a byte would cost hundreds of times its length.
 */
export class ChunkMerger {
	readonly #pass: (chunk: Buffer) => void;
	#collected = new BodyCollector();
	#timer: NodeJS.Timeout | undefined;

	constructor(pass: (chunk: Buffer) => void) {
		this.#pass = pass;
	}

	add(chunk: Buffer): void {
		const isSmall = chunk.length < SMALL_CHUNK_BYTES;
		if (isSmall && this.#timer !== undefined) {
			this.#collected.add(chunk);
			if (this.#collected.length >= MERGED_BYTES) {
				this.flush();
			}

			return;
		}

		this.flush();
		this.#pass(chunk);
		if (isSmall) {
			this.#startTimer();
		}
	}

	/** Passes on what has been merged so far. */
	flush(): void {
		if (this.#collected.length > 0) {
			const chunk = this.#collected.toBuffer();
			this.#collected = new BodyCollector();
			this.#pass(chunk);
		}
	}

	/** Drops what hasn't been passed on. */
	close(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		this.#collected = new BodyCollector();
	}

	#startTimer(): void {
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			if (this.#collected.length > 0) {
				this.#startTimer();
				this.flush();
			}
		}, MERGE_MS);
	}
}
