import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request as httpRequest} from 'undici';
import {header} from '../src/wire/index.js';

const ANNOUNCE_INTERVAL_MS = 1000;
/** Header with the id of the caller's request in the run records; services forward it together with the context. */
export const REQUEST_ID = 'x-request-id';
const FORWARDED_HEADERS = [header.CONTEXT, header.BUDGET_MS, REQUEST_ID];
const RUNS_PATH = '/_standin/runs';
const SLOWDOWN_PATH = '/_standin/slowdown';

/** Options of a stand-in target. */
export type TargetOptions = {
	readonly service: string;
	readonly host: string;
	readonly port: number;
	/** Address of the daemon beside the target, as `host:port`. */
	readonly daemon: string;
	readonly slots: number;
	readonly connections: number;
	/** Mean service time of the target's own work, in ms. */
	readonly meanMs: number;
	/** The nested calls that the target makes in sequence for each request, each as `METHOD /service/path`. */
	readonly calls: readonly string[];
	readonly cold?: boolean;
	/** How long the target is three times slower after its start, in ms. */
	readonly coldMs?: number;
};

/** A run at the target, as the demo and the proofs count it. */
export type RunRecord = {readonly id: string; readonly key: string; readonly path: string; readonly method: string};

/**
 * Stands in for a service: runs at most `slots` requests at once, queues the others,
 * forwards the context headers, and records every run with its idempotency key.
 */
export class TargetStandIn {
	readonly runs: RunRecord[] = [];
	/** Load that the load endpoint reports in place of the real one, so that a test can make it late or wrong. */
	reportedLoad: number | undefined;
	/** Factor by which the service time is multiplied. */
	slowdownFactor = 1;
	readonly #options: TargetOptions;
	readonly #agent: Agent;
	readonly #startMs = Date.now();
	readonly #waiting: Array<() => void> = [];
	readonly #server = http.createServer((request, response) => {
		void this.#handle(request, response);
	});

	#busySlots = 0;
	#announceTimer: NodeJS.Timeout | undefined;

	constructor(options: TargetOptions) {
		this.#options = options;
		this.#agent = new Agent({localAddress: options.host, connections: options.connections});
		this.#server.maxConnections = options.connections;
		this.#server.keepAliveTimeout = 65_000;
	}

	async start(): Promise<void> {
		const {host, port} = this.#options;
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
		this.#announceTimer = setInterval(() => {
			void this.announce();
		}, ANNOUNCE_INTERVAL_MS);
		await this.announce();
	}

	async announce(): Promise<void> {
		const {service, port, slots, connections, cold} = this.#options;
		await this.#sendToDaemon('PUT', JSON.stringify({
			service, port, slots, connections, cold: cold ?? false,
		}));
	}

	/** Stops the announcements and deregisters the target at its daemon. */
	async deregister(): Promise<void> {
		clearInterval(this.#announceTimer);
		await this.#sendToDaemon('DELETE', undefined);
	}

	close(): void {
		clearInterval(this.#announceTimer);
		this.#server.close();
		this.#server.closeAllConnections();
		void this.#agent.close();
	}

	async #sendToDaemon(method: 'PUT' | 'DELETE', body: string | undefined): Promise<void> {
		try {
			const {body: answer} = await httpRequest(`http://${this.#options.daemon}${header.TARGET_PATH}`, {
				method, body, dispatcher: this.#agent, headersTimeout: ANNOUNCE_INTERVAL_MS,
			});
			await answer.dump();
		} catch {
			// The daemon is unreachable; the next announcement is the retry.
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/load') {
			response.end(JSON.stringify({load: this.reportedLoad ?? this.#busySlots / this.#options.slots}));
			return;
		}

		if (request.url === RUNS_PATH) {
			response.end(JSON.stringify(this.runs));
			return;
		}

		if (request.url?.startsWith(SLOWDOWN_PATH)) {
			this.slowdownFactor = Number(request.url.split('=')[1]);
			response.end();
			return;
		}

		const chunks: Buffer[] = [];
		for await (const chunk of request) {
			chunks.push(chunk as Buffer);
		}

		await this.#acquireSlot();
		try {
			await this.#run(request, Buffer.concat(chunks), response);
		} finally {
			this.#busySlots--;
			this.#waiting.shift()?.();
		}
	}

	async #acquireSlot(): Promise<void> {
		if (this.#busySlots >= this.#options.slots) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
		}

		this.#busySlots++;
	}

	async #run(request: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
		const key = String(request.headers[header.KEY] ?? '');
		const id = String(request.headers[REQUEST_ID] ?? '');
		this.runs.push({
			id, key, path: request.url ?? '', method: request.method ?? '',
		});
		let hasFailed = false;
		await sleep(this.#chooseServiceTimeMs());
		for (const call of this.#options.calls) {
			// eslint-disable-next-line no-await-in-loop
			hasFailed ||= !(await this.#call(call, request, body));
		}

		if (response.destroyed) {
			return;
		}

		// The answer carries the digest of its request, so that a caller detects an answer to another request.
		const answer = Buffer.from(JSON.stringify({service: this.#options.service, digest: computeDigest(id, body)}));
		response.writeHead(hasFailed ? 503 : 200, {'content-type': 'application/json', 'content-length': answer.length});
		response.end(answer);
	}

	async #call(call: string, request: IncomingMessage, body: Buffer): Promise<boolean> {
		const [method, path] = call.split(' ', 2);
		const headers: Record<string, string> = {};
		for (const name of FORWARDED_HEADERS) {
			const value = request.headers[name];
			if (typeof value === 'string') {
				headers[name] = value;
			}
		}

		try {
			const answer = await httpRequest(`http://${this.#options.daemon}${path}`, {
				method: method as 'GET', headers, body: method === 'GET' ? null : body, dispatcher: this.#agent, headersTimeout: 30_000,
			});
			await answer.body.dump();
			return answer.statusCode < 400;
		} catch {
			return false;
		}
	}

	#chooseServiceTimeMs(): number {
		const coldMs = this.#options.coldMs ?? 0;
		const coldFactor = Date.now() - this.#startMs < coldMs ? 3 : 1;
		return this.#options.meanMs * (0.5 + Math.random()) * this.slowdownFactor * coldFactor;
	}
}

/** Computes the digest of a request (its id and body), which its answer carries. */
export function computeDigest(id: string, body: Uint8Array): string {
	return createHash('sha256').update(id).update(body).digest('hex');
}
