import {type Buffer} from 'node:buffer';

/** A call whose frame is built once it can leave. */
export type UnsentCall = {readonly bodyBytes: number};

/** What a waiting call takes besides its body, in bytes. */
const CALL_BYTES = 512;

/**
 * What waits at this end of a link while its socket is blocked: calls, and the frames behind them.
 * None of it has been handed to the operating system, so these calls certainly haven't run.
 */
export class UnsentFrames<Call extends UnsentCall> {
	#items: Array<Call | Buffer> = [];
	#bytes = 0;

	/** What the waiting calls and frames take. */
	get bytes(): number {
		return this.#bytes;
	}

	get isEmpty(): boolean {
		return this.#items.length === 0;
	}

	push(item: Call | Buffer): void {
		this.#items.push(item);
		this.#bytes += bytesOf(item);
	}

	/** Takes the first; undefined if nothing waits. */
	shift(): Call | Buffer | undefined {
		const item = this.#items.shift();
		this.#bytes -= item === undefined ? 0 : bytesOf(item);
		return item;
	}

	clear(): void {
		this.#items = [];
		this.#bytes = 0;
	}
}

function bytesOf(item: UnsentCall | Buffer): number {
	return 'bodyBytes' in item ? CALL_BYTES + item.bodyBytes : item.length;
}
