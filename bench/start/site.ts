import {
	Agent, type IncomingMessage, type ServerResponse, createServer, request as httpRequest,
} from 'node:http';
import {type AddressInfo, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {HEADER_NAMES, HEARTBEAT_METHOD, RPC_PATH} from '../../platform/names.js';

export const HOST = '127.0.0.1';

/** The two services of the bench: each request to the front makes one nested call to the back. */
export const SERVICES = ['front', 'back'] as const;
export type Service = typeof SERVICES[number];

const WORK_MS: Readonly<Record<Service, number>> = {front: 30, back: 15};
const BODY = 'x'.repeat(5000);
const SLOTS = 80;
const MAX_CONNECTIONS = 600;
/** Clients with connections of their own; so many requests of ten open a new one. */
const CLIENTS = 64;
const NEW_CONNECTIONS_OF_TEN = 2;

/** The operator's configuration, as the platform stores it. */
export const SITE = {
	version: 1,
	routes: {
		columns: ['name', 'host', 'path_prefix', 'kind', 'timeout_ms', 'target_latency_ms', 'priority', 'attempts', 'service'],
		rows: SERVICES.map(service => [service, 'site', `/${service}/`, 'safe', 5000, 2000, 1, 2, service]),
	},
	services: {columns: ['name', 'health_path', 'max_connections'], rows: SERVICES.map(service => [service, '/health', MAX_CONNECTIONS])},
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 4_000_000, header_timeout_ms: 5000, idle_timeout_ms: 10_000,
	},
};

/** Sends one call. @returns its status, 0 if the connection broke */
export async function sendCall(port: number, path: string, attemptId: string, agent: Agent | false): Promise<number> {
	const headers = {
		host: 'site', 'user-agent': 'bench', accept: '*/*', [HEADER_NAMES.attemptId]: attemptId, [HEADER_NAMES.deadlineMs]: '5000',
	};
	return new Promise<number>(resolve => {
		httpRequest({
			host: HOST, port, path, headers, agent,
		}, response => {
			response.resume().on('end', () => {
				resolve(response.statusCode!);
			});
		}).on('error', () => {
			resolve(0);
		}).end();
	});
}

/** A target that announces itself, takes its time and makes its nested calls through its own daemon. */
export class BenchTarget {
	readonly id: string;
	readonly service: Service;
	readonly #server: Server;
	readonly #agent = new Agent({keepAlive: true});
	#outboundPort = 0;
	#seq = 0;

	constructor(id: string, service: Service) {
		this.id = id;
		this.service = service;
		this.#server = createServer({keepAliveTimeout: 10_000}, (request, response) => {
			void this.#serve(request, response);
		});
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** Sets the port of the daemon that takes the target's nested calls. */
	sendNestedCallsTo(port: number): void {
		this.#outboundPort = port;
	}

	async listen(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, HOST, resolve);
		});
	}

	/** Announces the target to its daemon. @returns whether the daemon took it */
	async announce(port: number, bornMs: number): Promise<boolean> {
		const body = JSON.stringify({
			address: `${HOST}:${this.port}`,
			born: bornMs,
			info: {
				service: this.service, version: '1', zone: 'a', slots: SLOTS,
			},
			status: {state: 'ready', seq: ++this.#seq, warmup_left_ms: 0},
		});
		try {
			const response = await fetch(`http://${HOST}:${port}${RPC_PATH}?call=${HEARTBEAT_METHOD}&of=${this.id}`, {method: 'POST', body});
			await response.text();
			return response.ok;
		} catch {
			return false;
		}
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		request.resume();
		if (request.url === '/health') {
			response.writeHead(200, {[HEADER_NAMES.instance]: this.id, [HEADER_NAMES.load]: `0,0,${SLOTS}`});
			response.end();
			return;
		}

		const attemptId = String(request.headers[HEADER_NAMES.attemptId]);
		await sleep(WORK_MS[this.service]);
		const status = this.service === 'front' ? (await sendCall(this.#outboundPort, '/back/item', `${attemptId}.1`, this.#agent) || 502) : 200;
		response.writeHead(status, {
			'content-type': 'text/plain',
			[HEADER_NAMES.attemptId]: attemptId,
			[HEADER_NAMES.signature]: `${this.id}/${attemptId}`,
			[HEADER_NAMES.load]: `1,0,${SLOTS}`,
			'content-length': BODY.length,
		});
		response.end(BODY);
	}
}

/** Callers that send root requests to daemons at a set rate, whatever the answers take. */
export class BenchCallers {
	bad = 0;
	readonly #ports: readonly number[];
	readonly #agents = Array.from({length: CLIENTS}, () => new Agent({keepAlive: true, maxSockets: 1}));
	#sent = 0;

	constructor(ports: readonly number[]) {
		this.#ports = ports;
	}

	/** Sends so many requests, evenly apart; resolves when all are answered. */
	async send(count: number, perSecond: number): Promise<void> {
		const startMs = performance.now();
		const answers: Array<Promise<void>> = [];
		for (let index = 0; index < count; index++) {
			const waitMs = startMs + (index * 1000 / perSecond) - performance.now();
			if (waitMs > 1) {
				// eslint-disable-next-line no-await-in-loop -- the requests are sent one after another
				await sleep(waitMs);
			}

			answers.push(this.#sendOne());
		}

		await Promise.all(answers);
	}

	async #sendOne(): Promise<void> {
		const number = this.#sent++;
		const agent = number % 10 < NEW_CONNECTIONS_OF_TEN ? false : this.#agents[number % CLIENTS];
		const status = await sendCall(this.#ports[number % this.#ports.length], '/front/item', `r${number}`, agent);
		this.bad += status === 200 ? 0 : 1;
	}
}
