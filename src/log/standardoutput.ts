import process from 'node:process';

/** How much may wait for a reader of the output, in bytes. */
const MAX_WAITING_BYTES = 1_048_576;

/** Standard output that never delays the process or ends it: drops what nobody reads or that can't be written. */
export class StandardOutput {
	#isPrepared = false;

	/** @returns whether the text was taken */
	tryWrite(text: string): boolean {
		const {stdout} = process;
		if (!this.#isPrepared) {
			this.#isPrepared = true;
			// Without a listener, a reader that is gone would be an uncaught error.
			stdout.on('error', () => undefined);
		}

		if (!stdout.writable || stdout.writableLength > MAX_WAITING_BYTES) {
			return false;
		}

		try {
			stdout.write(text);
			return true;
		} catch {
			// A file is written at once, and its disk may be full.
			return false;
		}
	}
}
