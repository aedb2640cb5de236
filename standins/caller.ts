import {Buffer} from 'node:buffer';
import {Agent, request} from 'undici';
import {header} from '../src/wire/index.js';
import {REQUEST_ID, computeDigest} from './target.js';

const CONNECTIONS = 256;

/** One kind of request that callers send. */
export type RequestType = {
	readonly className: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	/** Its part of the requests, from 0 to 1; all parts add up to 1. */
	readonly share: number;
	readonly idempotent: boolean;
	readonly waitMs: number;
};

/** How a class of requests has fared. */
export type RequestCounts = {sent: number; complete: number; notRun: number; unknown: number; wrong: number; resends: number; withoutRetryAfter: number};

/** Makes an empty tally. */
export function createRequestCounts(): RequestCounts {
	return {
		sent: 0, complete: 0, notRun: 0, unknown: 0, wrong: 0, resends: 0, withoutRetryAfter: 0,
	};
}

type Attempted = {readonly outcome: 'complete' | 'not-run' | 'unknown'; readonly wrong: boolean; readonly withoutRetryAfter: boolean};

/**
 * Stands in for callers: sends at a set rate, whatever comes back, and resends
 * without a pause what was not answered whole.
 */
export class CallerStandIn {
	readonly countsByClass = new Map<string, RequestCounts>();
	/** How many requests each daemon has cut off. */
	readonly cutOffCounts = new Map<string, number>();
	/** The ids of requests whose last word was that they were not run. */
	readonly notRunIds = new Set<string>();
	/** Requests a second. */
	requestsPerSecond = 0;
	readonly #daemons: string[];
	readonly #kinds: readonly RequestType[];
	readonly #tries: number;
	readonly #agent = new Agent({connections: CONNECTIONS, connect: {timeout: 1000}});
	#timer: NodeJS.Timeout | undefined;
	#nextId = 1;
	#open = 0;
	#lastMs = 0;

	/** @param tries how often one request is sent at the most */
	constructor(daemons: readonly string[], kinds: readonly RequestType[], tries: number) {
		this.#daemons = [...daemons];
		this.#kinds = kinds;
		this.#tries = tries;
		for (const {className} of kinds) {
			this.countsByClass.set(className, createRequestCounts());
		}
	}

	get openRequests(): number {
		return this.#open;
	}

	/** Callers learn that an address is gone and use the others. */
	removeDaemon(daemon: string): void {
		const at = this.#daemons.indexOf(daemon);
		if (at !== -1) {
			this.#daemons.splice(at, 1);
		}
	}

	start(): void {
		this.#lastMs = performance.now();
		let due = 0;
		this.#timer = setInterval(() => {
			const nowMs = performance.now();
			due += this.requestsPerSecond * (nowMs - this.#lastMs) / 1000;
			this.#lastMs = nowMs;
			for (; due >= 1; due--) {
				void this.#send();
			}
		}, 5);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	async #send(): Promise<void> {
		const kind = this.#pick();
		const tally = this.countsByClass.get(kind.className)!;
		const id = `r${this.#nextId++}`;
		let attempt = 1;
		let sawUnknown = false;
		tally.sent++;
		this.#open++;
		for (let tries = 1; ; tries++) {
			// eslint-disable-next-line no-await-in-loop
			const {outcome, wrong, withoutRetryAfter} = await this.#attempt(kind, id, attempt);
			tally.wrong += wrong ? 1 : 0;
			tally.withoutRetryAfter += withoutRetryAfter ? 1 : 0;
			if (outcome !== 'complete' && tries < this.#tries) {
				tally.resends++;
				// Only an attempt that may have run makes the next one a resend.
				attempt += outcome === 'unknown' ? 1 : 0;
				sawUnknown ||= outcome === 'unknown';
				continue;
			}

			if (outcome === 'complete') {
				tally.complete++;
			} else if (outcome === 'unknown') {
				tally.unknown++;
			} else {
				tally.notRun++;
				if (!sawUnknown) {
					this.notRunIds.add(id);
				}
			}

			break;
		}

		this.#open--;
	}

	async #attempt(kind: RequestType, id: string, attempt: number): Promise<Attempted> {
		const body = Buffer.from(kind.method === 'POST' ? `body of ${id}` : '');
		const headers: Record<string, string> = {[REQUEST_ID]: id, [header.BUDGET_MS]: String(kind.waitMs)};
		if (!kind.idempotent) {
			headers[header.KEY] = id;
			headers[header.ATTEMPT] = String(attempt);
		}

		const daemon = this.#daemons[Math.floor(Math.random() * this.#daemons.length)];
		try {
			const response = await request(`http://${daemon}${kind.path}`, {
				method: kind.method, headers, body: body.length > 0 ? body : null, dispatcher: this.#agent, headersTimeout: kind.waitMs + 1000,
			});
			const text = await response.body.text();
			const outcome = String(response.headers[header.OUTCOME] ?? 'unknown') as Attempted['outcome'];
			const isWrong = outcome === 'complete' && (JSON.parse(text) as {digest: string}).digest !== computeDigest(id, body);
			return {outcome, wrong: isWrong, withoutRetryAfter: outcome === 'not-run' && response.headers['retry-after'] === undefined};
		} catch (error) {
			const isUnsent = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'].includes((error as {code?: string}).code ?? '');
			if (!isUnsent) {
				this.cutOffCounts.set(daemon, (this.cutOffCounts.get(daemon) ?? 0) + 1);
			}

			return {outcome: isUnsent ? 'not-run' : 'unknown', wrong: false, withoutRetryAfter: false};
		}
	}

	#pick(): RequestType {
		let at = Math.random();
		for (const kind of this.#kinds) {
			at -= kind.share;
			if (at < 0) {
				return kind;
			}
		}

		return this.#kinds[0];
	}
}
