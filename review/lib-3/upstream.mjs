/** A stand-in for an upstream: announces itself to the daemon beside it, and answers the requests that are for it (PROTOCOL.md). */
/* eslint-disable camelcase -- the names of the platform's fields */
import {Buffer} from 'node:buffer';
import {createServer, request as httpRequest} from 'node:http';

const SLOTS = 90;

export class Upstream {
	/** The attempt ids of the requests that it began to work on, with the time in ms since 1970. */
	ran = [];
	#state = 'ready';
	#seq = 0;
	#running = 0;
	#timer;
	#server;

	/**
	 * @param work answers a request that is for this instance: `work(request, response, id, body)`
	 * @param onRun called with the attempt id of each request that it begins to work on
	 */
	constructor({id, service, zone, ip, port, controlPort, heartbeatMs, bornMs = Date.now(), work, onRun}) {
		Object.assign(this, {
			id, service, zone, ip, port, controlPort, heartbeatMs, bornMs, work, onRun,
		});
		this.#server = createServer({keepAliveTimeout: 10_000}, (request, response) => {
			this.#serve(request, response);
		});
	}

	async start() {
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(this.port, this.ip, resolve);
		});
		this.#timer = setInterval(() => {
			this.heartbeat();
		}, this.heartbeatMs);
		await this.heartbeat();
	}

	close() {
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** @returns whether the daemon acknowledged it */
	async heartbeat() {
		return this.#call('heartbeat', {
			address: `${this.ip}:${this.port}`, born: this.bornMs,
			info: {
				service: this.service, version: 'v1', zone: this.zone, slots: SLOTS,
			},
			status: {state: this.#state, seq: ++this.#seq, warmup_left_ms: 0},
		});
	}

	/** The headers of an answer to this attempt. */
	headersOf(attemptId, signature) {
		return {
			'X-Comfreydyke-Attempt-Id': attemptId, 'X-Comfreydyke-Response-Signature': signature, 'X-Comfreydyke-Upstream-Load': `${this.#running},0,${SLOTS}`,
		};
	}

	async #call(name, body) {
		return new Promise(resolve => {
			const text = JSON.stringify(body);
			const request = httpRequest({
				host: this.ip, port: this.controlPort, method: 'POST', path: `/v1/rpc?call=instances.${name}&of=${this.id}`, agent: false, timeout: 1000,
				headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)},
			}, response => {
				response.resume();
				resolve(response.statusCode < 300);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(false);
			});
			request.end(text);
		});
	}

	#serve(request, response) {
		const {headers} = request;
		if (request.url === '/health') {
			response.writeHead(this.#state === 'ready' ? 200 : 503, {
				'X-Comfreydyke-Upstream-Instance': this.id, 'X-Comfreydyke-Upstream-Load': `${this.#running},0,${SLOTS}`, 'content-length': 0,
			});
			response.end();
			return;
		}

		const attemptId = headers['x-comfreydyke-attempt-id'];
		if (headers['x-comfreydyke-expected-instance'] !== this.id) {
			response.writeHead(421, {'X-Comfreydyke-Upstream-Instance': this.id, 'X-Comfreydyke-Attempt-Id': attemptId, 'content-length': 0});
			response.end();
			return;
		}

		this.onRun(attemptId);
		this.ran.push({id: attemptId, atMs: Date.now(), caller: headers['x-comfreydyke-caller-service']});
		this.#running++;
		response.on('close', () => {
			this.#running--;
		});
		const chunks = [];
		request.on('data', bytes => {
			chunks.push(bytes);
		});
		request.on('end', () => {
			this.work(request, response, attemptId, Buffer.concat(chunks));
		});
	}
}
