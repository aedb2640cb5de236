import {readFileSync} from 'node:fs';
import {sleep} from '../clock/index.js';

/** How long a start waits for valid settings, in ms. */
export const MAX_SETTINGS_WAIT_MS = 10_000;
/** How often a file that holds no valid settings is read again at the start, in ms. */
const RETRY_INTERVAL_MS = 50;

/** How long a start waits for valid settings. */
export type SettingsPatience = {
	readonly maxMs: number;
	/** Is told of each new reason for which the file is rejected. */
	readonly onWaiting: (reason: string, waitedMs: number) => void;
};

/** Reads a settings file that another process writes: it may be missing, empty, half written or invalid for a while. */
export class SettingsFile<T> {
	readonly #path: string;
	readonly #decode: (text: string) => T;
	#lastText: string | undefined;

	/** @param decode throws when the text is invalid */
	constructor(path: string, decode: (text: string) => T) {
		this.#path = path;
		this.#decode = decode;
	}

	/** Reads the settings once they are valid. @throws when they aren't within the time */
	async readWhenValid({maxMs, onWaiting}: SettingsPatience): Promise<T> {
		let lastReason = '';
		for (let waitedMs = 0; ; waitedMs += RETRY_INTERVAL_MS) {
			try {
				return this.read();
			} catch (error) {
				const {message: reason} = error as Error;
				if (waitedMs >= maxMs) {
					throw error;
				}

				if (reason !== lastReason) {
					lastReason = reason;
					onWaiting(reason, waitedMs);
				}

				// eslint-disable-next-line no-await-in-loop -- waits for the writer of the file
				await sleep(RETRY_INTERVAL_MS);
			}
		}
	}

	/** Reads the settings. @throws when the file can't be read or is invalid */
	read(): T {
		this.#lastText = undefined;
		this.#lastText = readFileSync(this.#path, 'utf8');
		return this.#decode(this.#lastText);
	}

	/**
	 * Reads the settings if the text of the file isn't the one read last. Its time and size don't tell:
	 * a file that was read half written may be completed within the resolution of its time.
	 * @returns undefined if the text is the same or can't be read
	 * @throws when the new text is invalid
	 */
	readIfChanged(): T | undefined {
		const text = this.#tryReadText();
		if (text === undefined || text === this.#lastText) {
			return undefined;
		}

		this.#lastText = text;
		return this.#decode(text);
	}

	#tryReadText(): string | undefined {
		try {
			return readFileSync(this.#path, 'utf8');
		} catch {
			return undefined;
		}
	}
}
