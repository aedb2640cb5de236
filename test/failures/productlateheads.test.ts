import type http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';
import {holdUp} from '../../standins/holdup.js';
import {PipelinedClient} from '../../standins/pipelinedclient.js';

const HEADERS_TIMEOUT_MS = 200;
const CHECK_INTERVAL_MS = 100;
const HOLD_UP_MS = 400;

// The product's path has the HTTP server's own limits, which are minutes.
vi.mock('node:http', async importOriginal => {
	const original = await importOriginal<{default: typeof http}>();
	const createServer = (options: http.ServerOptions | http.RequestListener, listener: http.RequestListener) => typeof options === 'function'
		? original.default.createServer(options)
		: original.default.createServer({...options, headersTimeout: HEADERS_TIMEOUT_MS, connectionsCheckingInterval: CHECK_INTERVAL_MS}, listener);
	return {...original, default: {...original.default, createServer}, createServer};
});

/** Longer than a busy machine takes. Each of the two daemons takes a hold-up off it, as the request may have waited meanwhile. */
const BUDGET = 'comfreydyke-budget-ms: 10000\r\n';

const submit = (delayMs = 20, more = '') => `POST /back/submit HTTP/1.1\r\nhost: x\r\nx-delay: ${delayMs}\r\n${more}content-length: 4\r\n\r\nbook`;

let pair: DaemonPair;
let runs: number;

beforeEach(async () => {
	pair = new DaemonPair();
	await pair.start();
	runs = 0;
	pair.onRequest = (socket, text) => {
		runs++;
		setTimeout(() => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
		}, Number(/x-delay: (?<ms>\d+)/v.exec(text)?.groups?.ms ?? 0));
	};
});

afterEach(async () => {
	await pair.close();
});

const connectClient = async () => {
	const client = new PipelinedClient(pair.port, new URL(pair.front).hostname);
	await sleep(50);
	return client;
};

describe('a head that is not complete in time, on the product\'s own path', () => {
	// Guards against a request that runs though its connection has been answered and closed before it.
	it.each([
		['on a silent connection', '', submit()],
		['in two parts', submit().slice(0, 40), submit().slice(40)],
	])('is not run when its rest crosses the 408: %s', async (_name, before, rest) => {
		const client = await connectClient();
		client.pause();
		client.send(before);
		await sleep(HEADERS_TIMEOUT_MS + (2 * CHECK_INTERVAL_MS));
		client.send(rest);
		client.resume();
		await client.closed;
		expect(client.statuses).toEqual([408]);
		expect(runs).toBe(0);
	});

	// Guards against requests that are answered though they were sent in time, and run.
	it.each([
		['on a silent connection', '', submit(20, BUDGET)],
		['in two parts', submit(20, BUDGET).slice(0, 40), submit(20, BUDGET).slice(40)],
	])('is answered and run if it came while the daemon was held up: %s', async (_name, before, rest) => {
		const client = await connectClient();
		client.send(before);
		await sleep(50);
		client.send(rest);
		holdUp(HOLD_UP_MS);
		await expect.poll(() => client.isClosed || client.statuses.length > 0, {timeout: 5000}).toBe(true);
		await sleep(100);
		expect(client.statuses).toEqual([200]);
		expect(runs).toBe(1);
	});

	// Guards against the loss of answers that are due: the connection was destroyed.
	it.each([
		['a head that never ends', submit().slice(0, 40), 408],
		['what is no request', 'nonsense\r\n\r\n', 400],
	])('lets the answers before it on its connection arrive: %s', async (_name, last, status) => {
		const client = await connectClient();
		client.send(submit(700) + last);
		await client.closed;
		expect(client.statuses).toEqual([200, status]);
		expect(runs).toBe(1);
	});
});
