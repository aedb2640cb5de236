/* eslint-disable camelcase -- the names of the users' pages */

/** A small stand-in of an upstream as `PROTOCOL.md` describes it: it runs what is meant for it, and announces itself to the daemon beside it. */
import {Buffer} from 'node:buffer';
import {createServer, request as httpRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

export const HEARTBEAT_MS = 1500;
export const HEALTH_PATH = '/health';
const HEADER = 'x-comfreydyke-';

/** Sends one call to a daemon's `control` address. @returns the status of the answer, 0 if there is none */
export async function sendToControl({ip, port}, name, id, body) {
	return new Promise(resolve => {
		const text = JSON.stringify(body);
		const request = httpRequest({
			host: ip, port, method: 'POST', path: `/v1/rpc?call=${name}&of=${encodeURIComponent(id)}`, agent: false, timeout: 1000,
			headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)},
		}, response => {
			response.resume();
			response.on('end', () => {
				resolve(response.statusCode);
			});
		});
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('error', () => {
			resolve(0);
		});
		request.end(text);
	});
}

export class Upstream {
	id;
	bornMs = Date.now();
	machine;
	service;
	/** Answers a request that runs: it gets the request, the response, the body and this upstream. */
	run;
	#record;
	#slots;
	#running = 0;
	#seq = 0;
	#server;
	#timer;
	#afterHeartbeat = [];
	#sockets = new Set();

	constructor({machine, service, id, record, run, slots = 16}) {
		this.machine = machine;
		this.service = service;
		this.id = id;
		this.#record = record;
		this.#slots = slots;
		this.run = run;
	}

	async start() {
		this.#server = createServer({keepAliveTimeout: 10_000, requestTimeout: 0}, (request, response) => {
			this.#serve(request, response);
		});
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => this.#sockets.delete(socket));
		});
		await new Promise(resolve => {
			this.#server.listen(this.machine.ports.app, this.machine.ip, resolve);
		});
		this.#timer = setInterval(async () => {
			await this.sendHeartbeat();
			for (const resolve of this.#afterHeartbeat.splice(0)) {
				resolve();
			}
		}, HEARTBEAT_MS);
		await this.sendHeartbeat();
	}

	/** What the upstream says of itself, now or in a heartbeat that arrives later. */
	describe() {
		const {ip, ports, zone} = this.machine;
		return {
			address: `${ip}:${ports.app}`,
			born: this.bornMs,
			info: {
				service: this.service, version: 'v1', zone, slots: this.#slots,
			},
			status: {state: 'ready', seq: ++this.#seq, warmup_left_ms: 0},
		};
	}

	async sendHeartbeat(body = this.describe()) {
		return sendToControl({ip: this.machine.ip, port: this.machine.ports.control}, 'instances.heartbeat', this.id, body);
	}

	/** Waits until the next of the regular heartbeats has been sent and answered. */
	async heartbeatSent() {
		await new Promise(resolve => {
			this.#afterHeartbeat.push(resolve);
		});
	}

	/** Stops the heartbeats, and all else at once. */
	stop() {
		clearInterval(this.#timer);
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** The headers of an answer of this upstream to the request. */
	headersOf(request) {
		const attemptId = request.headers[`${HEADER}attempt-id`];
		return {
			[`${HEADER}attempt-id`]: attemptId,
			[`${HEADER}response-signature`]: `${this.id}.${attemptId}`,
			[`${HEADER}upstream-load`]: `${this.#running},0,${this.#slots}`,
		};
	}

	/** Answers with a whole body that has a length. */
	answer(request, response, status, body) {
		response.writeHead(status, {...this.headersOf(request), 'content-length': Buffer.byteLength(body)});
		response.end(body);
	}

	async #serve(request, response) {
		if (request.url === HEALTH_PATH) {
			response.writeHead(200, {
				[`${HEADER}upstream-instance`]: this.id, [`${HEADER}upstream-load`]: `${this.#running},0,${this.#slots}`, 'content-length': 0,
			});
			response.end();
			return;
		}

		const {headers} = request;
		const attemptId = headers[`${HEADER}attempt-id`];
		const expected = headers[`${HEADER}expected-instance`];
		if (attemptId === undefined || (expected !== undefined && expected !== this.id)) {
			response.writeHead(attemptId === undefined ? 400 : 421, {[`${HEADER}not-executed`]: '1', 'content-length': 0});
			response.end();
			return;
		}

		this.#running++;
		this.#record.write('ran', {
			id: attemptId, upstream: this.id, service: this.service, method: request.method, path: request.url, caller: headers[`${HEADER}caller-service`],
		});
		response.on('close', () => {
			this.#running--;
		});
		await this.run({
			request, response, attemptId, caller: headers[`${HEADER}caller-service`], upstream: this,
		});
	}
}

/** Works for a while, then answers 200 with a small body. */
export const answerAfter = ms => async ({request, response, upstream}) => {
	request.resume();
	await sleep(ms);
	upstream.answer(request, response, 200, `done ${request.url}`);
};
