import {Buffer} from 'node:buffer';

/** Chunks that are shorter are copied into blocks, in bytes: each would keep the whole buffer that it was read into. */
const SMALL_CHUNK_BYTES = 4096;
/** The size of the first block, and the largest to which the next ones grow, in bytes. */
const MIN_BLOCK_BYTES = 4096;
const MAX_BLOCK_BYTES = 65_536;

/** Collects the chunks of a body, in about as much memory as they have bytes, however short they are. */
export class BodyCollector {
	readonly #chunks: Buffer[] = [];
	#block: Buffer | undefined;
	#blockBytes = MIN_BLOCK_BYTES;
	#usedBytes = 0;
	#length = 0;

	get length(): number {
		return this.#length;
	}

	add(chunk: Buffer): void {
		const isFirst = this.#length === 0;
		this.#length += chunk.length;
		if (isFirst || chunk.length >= SMALL_CHUNK_BYTES) {
			this.#endBlock();
			this.#chunks.push(chunk);
			return;
		}

		if (this.#block === undefined || this.#usedBytes + chunk.length > this.#block.length) {
			this.#endBlock();
			this.#block = Buffer.allocUnsafeSlow(this.#blockBytes);
			this.#blockBytes = Math.min(2 * this.#blockBytes, MAX_BLOCK_BYTES);
		}

		chunk.copy(this.#block, this.#usedBytes);
		this.#usedBytes += chunk.length;
	}

	/** Returns the body so far. */
	toBuffer(): Buffer {
		this.#endBlock();
		return this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks);
	}

	#endBlock(): void {
		if (this.#block !== undefined) {
			this.#chunks.push(this.#block.subarray(0, this.#usedBytes));
			this.#block = undefined;
			this.#usedBytes = 0;
		}
	}
}
