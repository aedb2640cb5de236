import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request as send} from 'undici';
import {header} from '../src/wire/index.js';

const ANNOUNCE_MS = 1000;
/** Names a caller's request in the records; services pass it on as they do the context. */
export const REQUEST_ID = 'x-request-id';
const CHAIN_HEADERS = [header.CONTEXT, header.BUDGET_MS, REQUEST_ID];
const RUNS_PATH = '/_standin/runs';
const SLOWDOWN_PATH = '/_standin/slowdown';

/** A stand-in target's make-up. */
export type TargetOptions = {
	readonly service: string;
	readonly host: string;
	readonly port: number;
	/** `host:port` of the daemon beside it. */
	readonly daemon: string;
	readonly slots: number;
	readonly connections: number;
	/** Mean service time of its own work, in ms. */
	readonly meanMs: number;
	/** The calls that it makes for each request, one after the other: `METHOD /service/path`. */
	readonly calls: readonly string[];
	readonly cold?: boolean;
	/** How long it is slower after its start, in ms. */
	readonly coldMs?: number;
};

/** One run that the target has done, as the demo and the proofs count them. */
export type RunRecord = {readonly id: string; readonly key: string; readonly path: string; readonly method: string};

/**
 * Stands in for a service: runs up to its slots at once, queues the rest inside,
 * passes the context headers on, and records every run with its key.
 */
export class TargetStandIn {
	readonly runs: RunRecord[] = [];
	/** What the load endpoint says; lags or lies as a test likes. */
	reportedLoad: number | undefined;
	/** Makes the target this many times slower. */
	slowdownFactor = 1;
	readonly #options: TargetOptions;
	readonly #agent: Agent;
	readonly #startMs = Date.now();
	readonly #waiting: Array<() => void> = [];
	readonly #server = http.createServer((request, response) => {
		void this.#handle(request, response);
	});

	#busy = 0;
	#timer: NodeJS.Timeout | undefined;

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
		this.#timer = setInterval(() => {
			void this.announce();
		}, ANNOUNCE_MS);
		await this.announce();
	}

	async announce(): Promise<void> {
		const {service, port, slots, connections, cold} = this.#options;
		await this.#tellDaemon('PUT', JSON.stringify({
			service, port, slots, connections, cold: cold ?? false,
		}));
	}

	/** Says that it leaves. */
	async deregister(): Promise<void> {
		clearInterval(this.#timer);
		await this.#tellDaemon('DELETE', undefined);
	}

	close(): void {
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
		void this.#agent.close();
	}

	async #tellDaemon(method: 'PUT' | 'DELETE', body: string | undefined): Promise<void> {
		try {
			const {body: answer} = await send(`http://${this.#options.daemon}${header.TARGET_PATH}`, {
				method, body, dispatcher: this.#agent, headersTimeout: ANNOUNCE_MS,
			});
			await answer.dump();
		} catch {
			// The daemon is away; the next announcement tries again.
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/load') {
			response.end(JSON.stringify({load: this.reportedLoad ?? this.#busy / this.#options.slots}));
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

		await this.#slot();
		try {
			await this.#run(request, Buffer.concat(chunks), response);
		} finally {
			this.#busy--;
			this.#waiting.shift()?.();
		}
	}

	async #slot(): Promise<void> {
		if (this.#busy >= this.#options.slots) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
		}

		this.#busy++;
	}

	async #run(request: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
		const key = String(request.headers[header.KEY] ?? '');
		const id = String(request.headers[REQUEST_ID] ?? '');
		this.runs.push({
			id, key, path: request.url ?? '', method: request.method ?? '',
		});
		let failed = false;
		await sleep(this.#serviceMs());
		for (const call of this.#options.calls) {
			// eslint-disable-next-line no-await-in-loop
			failed ||= !(await this.#call(call, request, body));
		}

		if (response.destroyed) {
			return;
		}

		// The answer carries a digest of its own request, so that a caller can tell whose it is.
		const answer = Buffer.from(JSON.stringify({service: this.#options.service, digest: computeDigest(id, body)}));
		response.writeHead(failed ? 503 : 200, {'content-type': 'application/json', 'content-length': answer.length});
		response.end(answer);
	}

	async #call(call: string, request: IncomingMessage, body: Buffer): Promise<boolean> {
		const [method, path] = call.split(' ', 2);
		const headers: Record<string, string> = {};
		for (const name of CHAIN_HEADERS) {
			const value = request.headers[name];
			if (typeof value === 'string') {
				headers[name] = value;
			}
		}

		try {
			const answer = await send(`http://${this.#options.daemon}${path}`, {
				method: method as 'GET', headers, body: method === 'GET' ? null : body, dispatcher: this.#agent, headersTimeout: 30_000,
			});
			await answer.body.dump();
			return answer.statusCode < 400;
		} catch {
			return false;
		}
	}

	#serviceMs(): number {
		const coldMs = this.#options.coldMs ?? 0;
		const coldFactor = Date.now() - this.#startMs < coldMs ? 3 : 1;
		return this.#options.meanMs * (0.5 + Math.random()) * this.slowdownFactor * coldFactor;
	}
}

/** What an answer says of the request that it belongs to. */
export function computeDigest(id: string, body: Uint8Array): string {
	return createHash('sha256').update(id).update(body).digest('hex');
}
