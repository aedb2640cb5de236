import {Buffer} from 'node:buffer';
import {Agent, request} from 'undici';
import {header} from '../src/wire/index.js';
import {REQUEST_ID, computeDigest} from './target.js';

const MAX_CONNECTIONS_PER_DAEMON = 256;

/** A type of request that the callers send. */
export type RequestType = {
	readonly className: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	/** Fraction of all requests that have this type, from 0 to 1; the fractions of all types add up to 1. */
	readonly share: number;
	readonly idempotent: boolean;
	readonly waitMs: number;
};

/** Counts the requests of one class by result. `wrong` counts complete answers whose digest belongs to another request. */
export type RequestCounts = {sent: number; complete: number; notRun: number; unknown: number; wrong: number; resends: number; withoutRetryAfter: number};

export function createRequestCounts(): RequestCounts {
	return {
		sent: 0, complete: 0, notRun: 0, unknown: 0, wrong: 0, resends: 0, withoutRetryAfter: 0,
	};
}

type AttemptResult = {readonly outcome: 'complete' | 'not-run' | 'unknown'; readonly wrong: boolean; readonly withoutRetryAfter: boolean};

/**
 * Stands in for callers: sends requests at a fixed rate, whatever the answers are (open loop), and resends
 * each request that got no complete answer at once, without back-off.
 */
export class CallerStandIn {
	readonly countsByClass = new Map<string, RequestCounts>();
	/** How many requests failed without an answer, by daemon; refused and timed-out connection attempts do not count. */
	readonly cutOffCounts = new Map<string, number>();
	/** Ids of the requests that ended as not run and had no attempt with an unknown outcome. */
	readonly notRunIds = new Set<string>();
	requestsPerSecond = 0;
	readonly #daemons: string[];
	readonly #requestTypes: readonly RequestType[];
	readonly #maxTries: number;
	readonly #agent = new Agent({connections: MAX_CONNECTIONS_PER_DAEMON, connect: {timeout: 1000}});
	#timer: NodeJS.Timeout | undefined;
	#nextId = 1;
	#open = 0;
	#lastMs = 0;

	/** @param maxTries maximum number of times that one request is sent, the first time included */
	constructor(daemons: readonly string[], requestTypes: readonly RequestType[], maxTries: number) {
		this.#daemons = [...daemons];
		this.#requestTypes = requestTypes;
		this.#maxTries = maxTries;
		for (const {className} of requestTypes) {
			this.countsByClass.set(className, createRequestCounts());
		}
	}

	get openRequests(): number {
		return this.#open;
	}

	/** Stops sending to this address, as callers do once service discovery has removed it. */
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
		const requestType = this.#pickRequestType();
		const counts = this.countsByClass.get(requestType.className)!;
		const id = `r${this.#nextId++}`;
		let attempt = 1;
		let sawUnknown = false;
		counts.sent++;
		this.#open++;
		for (let tries = 1; ; tries++) {
			// eslint-disable-next-line no-await-in-loop
			const {outcome, wrong, withoutRetryAfter} = await this.#attempt(requestType, id, attempt);
			counts.wrong += wrong ? 1 : 0;
			counts.withoutRetryAfter += withoutRetryAfter ? 1 : 0;
			if (outcome !== 'complete' && tries < this.#maxTries) {
				counts.resends++;
				// The attempt number grows only after an attempt that may have run: one that certainly did not run counts as never sent.
				attempt += outcome === 'unknown' ? 1 : 0;
				sawUnknown ||= outcome === 'unknown';
				continue;
			}

			if (outcome === 'complete') {
				counts.complete++;
			} else if (outcome === 'unknown') {
				counts.unknown++;
			} else {
				counts.notRun++;
				if (!sawUnknown) {
					this.notRunIds.add(id);
				}
			}

			break;
		}

		this.#open--;
	}

	async #attempt(requestType: RequestType, id: string, attempt: number): Promise<AttemptResult> {
		const body = Buffer.from(requestType.method === 'POST' ? `body of ${id}` : '');
		const headers: Record<string, string> = {[REQUEST_ID]: id, [header.BUDGET_MS]: String(requestType.waitMs)};
		if (!requestType.idempotent) {
			headers[header.KEY] = id;
			headers[header.ATTEMPT] = String(attempt);
		}

		const daemon = this.#daemons[Math.floor(Math.random() * this.#daemons.length)];
		try {
			const response = await request(`http://${daemon}${requestType.path}`, {
				method: requestType.method, headers, body: body.length > 0 ? body : null, dispatcher: this.#agent, headersTimeout: requestType.waitMs + 1000,
			});
			const text = await response.body.text();
			const outcome = String(response.headers[header.OUTCOME] ?? 'unknown') as AttemptResult['outcome'];
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

	#pickRequestType(): RequestType {
		let at = Math.random();
		for (const requestType of this.#requestTypes) {
			at -= requestType.share;
			if (at < 0) {
				return requestType;
			}
		}

		return this.#requestTypes[0];
	}
}
