import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';
import {Mesh} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

/** More than a client's socket takes while its program doesn't read. */
const BODY_BYTES = 1_000_000;
/** When a stopping daemon has closed a connection that isn't used, in ms after it was told to stop. */
const UNTIL_CLOSED_MS = 900;
/** The address of the first daemon of the product's own path. */
const FRONT = '127.0.3.1';
const LOOK = 'GET /back/look HTTP/1.1\r\nhost: back\r\n\r\n';
const get = (id: string) => buildHead('GET', '/x/', id);

let mesh: Mesh | undefined;
let pair: DaemonPair | undefined;
afterEach(async () => {
	await Promise.all([mesh?.close(), pair?.close()]);
	[mesh, pair] = [undefined, undefined];
});

describe('a client that sends on while an answer that closes its connection is on its way', () => {
	// Guards against a reset that takes an answer along, of which the client has not yet read all (LOST).
	it('gets the answer whole', async () => {
		mesh = new Mesh();
		const {front, back: {target}, port} = await mesh.addPair();
		let answeredCount = 0;
		target.behaviourOverride = (request, response) => {
			target.answer(response, String(request.headers[meshHeaders.attemptId]), 200, Buffer.alloc(BODY_BYTES, 'x'));
			answeredCount++;
		};

		const client = new PipelinedClient(port);
		client.pause();
		const stopped = front.stop();
		client.send(get('first'));
		await expect.poll(() => answeredCount, {timeout: 5000}).toBe(1);
		for (const id of ['second', 'third', 'fourth']) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await sleep(150);
			client.send(get(id));
		}

		await sleep(150);
		client.resume();
		await client.closed;
		expect(client.text).toMatch(/connection: close/iv);
		expect(client.text.endsWith('x'.repeat(1000))).toBe(true);
		expect(client.text.length - client.text.indexOf('\r\n\r\n') - 4).toBe(BODY_BYTES);
		await stopped;
	});

	// Guards against a process that ends while a client has yet to notice the end of its connection: its next request would be answered with a reset (LOST).
	it('has closed its side before the daemon has stopped', async () => {
		mesh = new Mesh();
		const {front, port} = await mesh.addPair();
		const client = new PipelinedClient(port);
		client.send(get('first'));
		await expect.poll(() => client.statuses, {timeout: 5000}).toEqual([200]);
		client.pause();
		let wasClosed: boolean | undefined;
		const stopped = front.stop().then(() => {
			wasClosed = client.isClosed;
		});
		await sleep(UNTIL_CLOSED_MS);
		client.resume();
		await stopped;
		expect(wasClosed).toBe(true);
	});
});

describe('the same on the product\'s own path', () => {
	// Guards against a reset that takes an answer along, of which the client has not yet read all (LOST).
	it('gets the answer whole', async () => {
		pair = new DaemonPair();
		await pair.start();
		let answeredCount = 0;
		pair.onRequest = socket => {
			setTimeout(() => {
				socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${BODY_BYTES}\r\n\r\n${'x'.repeat(BODY_BYTES)}`);
				answeredCount++;
			}, 300);
		};

		const client = new PipelinedClient(pair.port, FRONT);
		client.pause();
		client.send(LOOK);
		await sleep(100);
		const stopped = pair.daemons[0].stop();
		await expect.poll(() => answeredCount, {timeout: 5000}).toBe(1);
		for (let count = 0; count < 3; count++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await sleep(150);
			client.send(LOOK);
		}

		await sleep(150);
		client.resume();
		await client.closed;
		expect(client.text).toMatch(/connection: close/iv);
		expect(client.text.length - client.text.indexOf('\r\n\r\n') - 4).toBe(BODY_BYTES);
		await stopped;
	});
});
