import {type FrameChannel, FrameTag} from './frame.js';

/** How long a peer may take to send the versions that it offered before another is asked, in ms. */
const RECORD_REQUEST_TIMEOUT_MS = 300;

/** A version that was requested, and the other peers that have offered it since. */
type Request = {readonly revision: number; readonly atMs: number; readonly others: FrameChannel[]};

export type RecordRequesterParts = {
	readonly nowMs: () => number;
	/** The newest known revision of a host's entry. */
	readonly revisionOf: (host: string) => number | undefined;
};

/** Requests versions of entries that peers offer, each from one peer at a time; the next is asked if that one doesn't send it. */
export class RecordRequester {
	readonly #parts: RecordRequesterParts;
	readonly #requests = new Map<string, Request>();
	#timer: NodeJS.Timeout | undefined;

	constructor(parts: RecordRequesterParts) {
		this.#parts = parts;
	}

	/** Requests the versions that are new here, unless another peer was asked for them just now. */
	request(offers: ReadonlyArray<[string, number]>, channel: FrameChannel): void {
		const wanted: string[] = [];
		for (const [host, revision] of offers) {
			if (this.#isKnown(host, revision)) {
				continue;
			}

			const request = this.#requests.get(host);
			if (request !== undefined && request.revision >= revision && !this.#isOverdue(request)) {
				request.others.push(channel);
			} else {
				this.#requests.set(host, {revision, atMs: this.#parts.nowMs(), others: []});
				wanted.push(host);
			}
		}

		this.#send(wanted, channel);
	}

	close(): void {
		clearTimeout(this.#timer);
	}

	#isKnown(host: string, revision: number): boolean {
		return revision <= (this.#parts.revisionOf(host) ?? 0);
	}

	#isOverdue({atMs}: Request): boolean {
		return this.#parts.nowMs() - atMs >= RECORD_REQUEST_TIMEOUT_MS;
	}

	#send(hosts: readonly string[], channel: FrameChannel): void {
		if (hosts.length > 0) {
			channel.send([FrameTag.recordRequest, hosts]);
			this.#schedule();
		}
	}

	#schedule(): void {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			this.#requestAgain();
		}, RECORD_REQUEST_TIMEOUT_MS);
	}

	#requestAgain(): void {
		const wanted = new Map<FrameChannel, string[]>();
		let isWaiting = false;
		for (const [host, request] of this.#requests) {
			const [next, ...others] = request.others;
			if (this.#isKnown(host, request.revision) || (this.#isOverdue(request) && next === undefined)) {
				this.#requests.delete(host);
			} else if (this.#isOverdue(request)) {
				this.#requests.set(host, {...request, atMs: this.#parts.nowMs(), others});
				wanted.set(next, [...wanted.get(next) ?? [], host]);
			} else {
				isWaiting = true;
			}
		}

		for (const [channel, hosts] of wanted) {
			this.#send(hosts, channel);
		}

		if (isWaiting) {
			this.#schedule();
		}
	}
}
