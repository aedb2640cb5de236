import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock, SystemClock} from '../src/clock/index.js';

const MAX_VALUE_BYTES = 1_048_576;
const SECOND_MS = 1000;

/** The value is kept as its writer sent it, as it may be nested too deeply to be encoded again. */
type StoredObject = {key: string; version: number; valueText: string; deleted: boolean};
type Listing = {readonly version: number; readonly objects: readonly StoredObject[]};
type WatchWaiter = {prefix: string; after: number; answer: () => void};

/** Faults that tests inject into the platform. */
export type PlatformFaults = {
	/** Refuses every call with 503. */
	outage: boolean;
	/** Additional delay before each answer, in ms. */
	slowMs: number;
	/** Number of further writes that take effect while their answers are lost. */
	loseAnswers: number;
	/** Number of versions by which reads lag behind the latest write. */
	staleVersions: number;
};

/** Rate limits in calls per second. A pending watch counts as one read each second. */
export type RateLimits = {readonly writes: number; readonly reads: number};

const DEFAULT_RATES: RateLimits = {writes: 400, reads: 2000};

/** Counters of the received calls, for the benchmarks. */
export type PlatformCounts = {reads: number; writes: number; refused: number};

/** Stands in for the platform's object API, with versions, conditional updates and watches (long polling). */
export class PlatformStandIn {
	readonly faults: PlatformFaults = {
		outage: false, slowMs: 0, loseAnswers: 0, staleVersions: 0,
	};

	readonly counts: PlatformCounts = {reads: 0, writes: 0, refused: 0};
	readonly #clock: Clock;
	readonly #rates: RateLimits;
	readonly #objects = new Map<string, StoredObject>();
	readonly #history: StoredObject[] = [];
	readonly #waiters = new Set<WatchWaiter>();
	readonly #server = http.createServer((request, response) => {
		this.#receive(request, response);
	});

	#version = 0;
	#windowStartMs = 0;
	#windowReads = 0;
	#windowWrites = 0;

	constructor(rates: RateLimits = DEFAULT_RATES, clock: Clock = new SystemClock()) {
		this.#rates = rates;
		this.#clock = clock;
	}

	async listen(host: string, port: number): Promise<number> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, () => {
				resolve((this.#server.address() as {port: number}).port);
			});
		});
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#receive(request: IncomingMessage, response: ServerResponse): void {
		const chunks: Uint8Array[] = [];
		let length = 0;
		request.on('data', (chunk: Uint8Array) => {
			length += chunk.length;
			if (length <= MAX_VALUE_BYTES) {
				chunks.push(chunk);
			}
		});
		request.on('end', () => {
			setTimeout(() => {
				this.#handle(request, response, length > MAX_VALUE_BYTES ? undefined : Buffer.concat(chunks));
			}, this.faults.slowMs);
		});
	}

	#handle(request: IncomingMessage, response: ServerResponse, body: Buffer | undefined): void {
		const url = new URL(request.url ?? '/', 'http://platform');
		if (request.method === 'POST' && url.pathname === '/faults') {
			Object.assign(this.faults, JSON.parse(String(body)));
			sendJson(response, 200, this.faults);
			return;
		}

		if (this.faults.outage) {
			sendJson(response, 503, {error: 'outage'});
			return;
		}

		const isWrite = request.method === 'PUT' || request.method === 'DELETE';
		if (!this.#countAndCheckRate(isWrite)) {
			this.counts.refused++;
			sendJson(response, 429, {error: 'calls per second: rate limit exceeded'});
			return;
		}

		if (isWrite) {
			this.#write(request, response, parseObjectKey(url), body);
		} else if (url.pathname === '/watch') {
			this.#watch(url, request, response);
		} else if (url.pathname === '/objects') {
			sendText(response, 200, formatListing(this.#list(url.searchParams.get('prefix') ?? '', 0)));
		} else {
			this.#get(response, parseObjectKey(url));
		}
	}

	#countAndCheckRate(isWrite: boolean): boolean {
		const nowMs = this.#clock.nowMs();
		if (nowMs - this.#windowStartMs >= SECOND_MS) {
			this.#windowStartMs = nowMs;
			this.#windowReads = this.#waiters.size;
			this.#windowWrites = 0;
		}

		if (isWrite) {
			this.counts.writes++;
			this.#windowWrites++;
			return this.#windowWrites <= this.#rates.writes;
		}

		this.counts.reads++;
		this.#windowReads++;
		return this.#windowReads <= this.#rates.reads;
	}

	#write(request: IncomingMessage, response: ServerResponse, key: string, body: Buffer | undefined): void {
		if (body === undefined) {
			sendJson(response, 413, {error: `value: longer than ${MAX_VALUE_BYTES} bytes`});
			return;
		}

		const current = this.#objects.get(key);
		const currentVersion = current === undefined || current.deleted ? 0 : current.version;
		const expectedVersion = request.headers['if-none-match'] === '*' ? 0 : Number(request.headers['if-match'] ?? currentVersion);
		if (expectedVersion !== currentVersion) {
			sendJson(response, 412, {version: currentVersion});
			return;
		}

		const valueText = request.method === 'DELETE' ? 'null' : body.toString();
		try {
			JSON.parse(valueText);
		} catch {
			sendJson(response, 400, {error: 'value: expected JSON'});
			return;
		}

		const stored = {
			key, version: ++this.#version, valueText, deleted: request.method === 'DELETE',
		};
		this.#objects.set(key, stored);
		this.#history.push(stored);
		this.#notifyWaiters(key);
		if (this.faults.loseAnswers > 0) {
			this.faults.loseAnswers--;
			response.destroy();
			return;
		}

		sendJson(response, 200, {version: stored.version});
	}

	#get(response: ServerResponse, key: string): void {
		const found = this.#list(key, 0).objects.find(object => object.key === key);
		if (found === undefined) {
			sendJson(response, 404, {error: `key: no object named ${key}`});
		} else {
			sendText(response, 200, formatObject(found));
		}
	}

	#watch(url: URL, request: IncomingMessage, response: ServerResponse): void {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = Number(url.searchParams.get('after') ?? 0);
		const listing = this.#list(prefix, after);
		if (listing.objects.length > 0) {
			sendText(response, 200, formatListing(listing));
			return;
		}

		const finish = () => {
			clearTimeout(timer);
			this.#waiters.delete(waiter);
			sendText(response, 200, formatListing(this.#list(prefix, after)));
		};

		const waiter: WatchWaiter = {prefix, after, answer: finish};
		const timer = setTimeout(finish, Number(url.searchParams.get('waitMs') ?? 1000));
		this.#waiters.add(waiter);
		request.socket.once('close', () => {
			clearTimeout(timer);
			this.#waiters.delete(waiter);
		});
	}

	#notifyWaiters(key: string): void {
		for (const waiter of this.#waiters) {
			if (key.startsWith(waiter.prefix)) {
				waiter.answer();
			}
		}
	}

	#list(prefix: string, after: number): Listing {
		const version = Math.max(0, this.#version - this.faults.staleVersions);
		const latest = this.faults.staleVersions === 0 ? this.#objects : this.#objectsAtVersion(version);
		const objects = [...latest.values()]
			.filter(object => !object.deleted && object.key.startsWith(prefix) && object.version > after);
		return {version, objects};
	}

	#objectsAtVersion(version: number): Map<string, StoredObject> {
		return new Map(this.#history.filter(object => object.version <= version).map(object => [object.key, object]));
	}
}

function parseObjectKey(url: URL): string {
	return decodeURIComponent(url.pathname.replace(/^\/objects\//v, ''));
}

function formatObject({key, version, valueText}: StoredObject): string {
	return `{"key":${JSON.stringify(key)},"version":${version},"value":${valueText}}`;
}

function formatListing({version, objects}: Listing): string {
	return `{"version":${version},"objects":[${objects.map(object => formatObject(object)).join(',')}]}`;
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
	sendText(response, status, JSON.stringify(value));
}

function sendText(response: ServerResponse, status: number, text: string): void {
	if (!response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(text);
	}
}
