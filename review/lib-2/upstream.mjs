/* eslint-disable camelcase -- the names of the users' pages */
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {exchange, readBytes} from './http.mjs';
import {trace} from './trace.mjs';

export const HEARTBEAT_MS = 1500;
const HEARTBEAT_TIMEOUT_MS = 1000;
const JSON_TYPE = {'content-type': 'application/json'};

/** An upstream: runs up to `slots` requests at once, queues none, and tells the daemon on its machine of itself. */
export class Upstream {
	state = 'ready';
	/** What arrived for this instance and was run, each as {id, atMs, request}. */
	runs = [];
	/** How late a heartbeat that is sent now arrives, in ms. */
	heartbeatDelayMs = () => 0;
	/** When the last heartbeat was sent, in ms since 1970. */
	beatMs = 0;
	/** Called with the acknowledgement of each heartbeat: its state, and when it came. */
	onAcknowledged = () => undefined;
	#options;
	#running = 0;
	#seq = 0;
	#bornMs = Date.now();
	#timer;
	#server = createServer({keepAliveTimeout: 10_000, maxHeaderSize: 65_536}, async (request, response) => {
		await this.#serve(request, response);
	});

	/** @param options id, service, zone, ip, slots, workMs, and `answer`, which writes the answer of a run in place of the usual one */
	constructor(options) {
		this.#options = options;
	}

	get id() {
		return this.#options.id;
	}

	get service() {
		return this.#options.service;
	}

	async listen() {
		const {ip} = this.#options;
		await new Promise(resolve => {
			this.#server.listen(0, ip, resolve);
		});
		this.address = `${ip}:${this.#server.address().port}`;
	}

	/** Sends heartbeats to the daemon's control address from now on. */
	beatTo(control) {
		const beat = async () => {
			await this.beat(control);
		};

		beat();
		this.#timer = setInterval(beat, HEARTBEAT_MS);
	}

	/** Sends one heartbeat. @returns the status of its answer */
	async beat(control) {
		const {id, service, zone, slots} = this.#options;
		const {state} = this;
		this.beatMs = Date.now();
		const body = JSON.stringify({
			address: this.address, born: this.#bornMs, info: {
				service, version: 'v1', zone, slots,
			}, status: {state, seq: ++this.#seq, warmup_left_ms: 0},
		});
		await sleep(this.heartbeatDelayMs());
		const {status} = await exchange({
			...splitAddress(control), method: 'POST', path: `/v1/rpc?call=instances.heartbeat&of=${id}`, headers: {...JSON_TYPE, 'content-length': body.length}, body, timeoutMs: HEARTBEAT_TIMEOUT_MS,
		});
		if (status >= 200 && status < 300) {
			this.onAcknowledged(state, Date.now());
		}

		return status;
	}

	/** Deregisters and exits, as an upstream does at the end of its drain. */
	async leave(control) {
		this.stopBeating();
		const {id} = this.#options;
		const body = JSON.stringify({born: this.#bornMs});
		await exchange({
			...splitAddress(control), method: 'POST', path: `/v1/rpc?call=instances.deregister&of=${id}`, headers: {...JSON_TYPE, 'content-length': body.length}, body, timeoutMs: HEARTBEAT_TIMEOUT_MS,
		});
		this.close();
	}

	stopBeating() {
		clearInterval(this.#timer);
	}

	close() {
		this.stopBeating();
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #serve(request, response) {
		const {id, slots, workMs, answer, healthPath = '/health'} = this.#options;
		response.sendDate = false;
		if (request.url === healthPath) {
			response.writeHead(this.state === 'ready' ? 200 : 503, {'x-comfreydyke-upstream-instance': id, 'x-comfreydyke-upstream-load': this.#load, 'content-length': 0});
			response.end();
			return;
		}

		const attemptId = request.headers['x-comfreydyke-attempt-id'];
		const expected = request.headers['x-comfreydyke-expected-instance'];
		if (expected !== undefined && expected !== id) {
			response.writeHead(421, {'x-comfreydyke-upstream-instance': id, 'content-length': 0});
			response.end();
			return;
		}

		if (this.#running >= slots) {
			response.writeHead(503, {'x-comfreydyke-not-executed': '1', 'x-comfreydyke-attempt-id': attemptId, 'content-length': 0});
			response.end();
			return;
		}

		this.#running++;
		response.on('close', () => {
			this.#running--;
		});
		const run = {id: attemptId, atMs: Date.now(), request};
		this.runs.push(run);
		trace.note(`ran ${attemptId} at ${id}`);
		const headers = {'x-comfreydyke-attempt-id': attemptId, 'x-comfreydyke-response-signature': `sig-${attemptId}`, 'x-comfreydyke-upstream-load': this.#load};
		try {
			await (answer ?? answerShortly)({
				request, response, headers, run, workMs,
			});
		} catch {
			// The sender has closed the connection, and nobody waits for the rest.
			response.destroy();
		}
	}

	get #load() {
		return `${this.#running},0,${this.#options.slots}`;
	}
}

async function answerShortly({request, response, headers, run, workMs}) {
	await readBytes(request);
	await sleep(workMs);
	const body = `answer to ${run.id}`;
	response.writeHead(200, {...headers, 'content-length': body.length});
	response.end(body);
}

/** Splits IP:PORT. */
export function splitAddress(address) {
	const [ip, port] = address.split(':');
	return {ip, port: Number(port)};
}
