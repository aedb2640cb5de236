import {afterSockets} from '../../clock/index.js';

/** How long the peer may owe a sign of life before its link counts as stalled, in ms: longer than a round trip between regions and than short pauses of a daemon. */
const STALL_MS = 200;

/**
 * Tells when a peer doesn't answer a ping soon. New calls avoid such a peer, as nobody can tell of
 * those that have left whether they have run; the link stays open for their answers.
 * Handles the load pattern in which many calls go to a host in the second between its loss and the end of its links.
 */
export class StallDetector {
	#timer: NodeJS.Timeout | undefined;
	/** Whether the time is over and the sockets are being served. */
	#isDue = false;
	#isStalled = false;
	readonly #onStalled: () => void;

	constructor(onStalled: () => void) {
		this.#onStalled = onStalled;
	}

	get isStalled(): boolean {
		return this.#isStalled;
	}

	/** Whether a sign of life is awaited. */
	get isAsking(): boolean {
		return this.#timer !== undefined;
	}

	/** Records that the peer was asked for a sign of life. */
	onAsked(): void {
		this.#timer ??= setTimeout(() => {
			this.#isDue = true;
			afterSockets(() => {
				if (this.#isDue) {
					this.#isDue = false;
					this.#isStalled = true;
					this.#onStalled();
				}
			});
		}, STALL_MS);
	}

	/** Records that the peer takes what was sent, if slowly: the ping may be behind it. */
	onProgress(): void {
		if (!this.#isStalled) {
			this.#isDue = false;
			this.#timer?.refresh();
		}
	}

	/** Records that the peer was heard, or that the link has ended. @returns whether it was stalled */
	onHeard(): boolean {
		const wasStalled = this.#isStalled;
		clearTimeout(this.#timer);
		this.#timer = undefined;
		this.#isDue = false;
		this.#isStalled = false;
		return wasStalled;
	}
}
