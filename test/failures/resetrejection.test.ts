import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';
import {Mesh} from '../../standins/mesh.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

/** The address of the first daemon of the product's own path. */
const FRONT = '127.0.3.1';
/** Longer than a head may be on either path. */
const LONG = `GET /x/ HTTP/1.1\r\nlong: ${'x'.repeat(100_000)}`;

let mesh: Mesh | undefined;
let pair: DaemonPair | undefined;
afterEach(async () => {
	await Promise.all([mesh?.close(), pair?.close()]);
	[mesh, pair] = [undefined, undefined];
});

/** Sends this, and goes on sending, in pieces, before it reads. */
async function sendOn(client: PipelinedClient, begin: string): Promise<void> {
	client.pause();
	for (const text of [begin, 'more', 'more', 'more', 'more']) {
		client.send(text);
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await sleep(100);
	}

	client.resume();
	await client.closed;
}

// Guards against a reset that takes the daemon's own answer along, because the client is still sending what is rejected.
describe.each([
	{name: 'is malformed', begin: 'no request\r\n\r\n', status: 400},
	{name: 'is too long', begin: LONG, status: 431},
])('a client that sends on while its request is rejected, as it $name', ({begin, status}) => {
	it('gets the answer', async () => {
		mesh = new Mesh();
		const {port} = await mesh.addPair();
		const client = new PipelinedClient(port);
		await sendOn(client, begin);
		expect(client.statuses).toEqual([status]);
	});

	it('gets one on the product\'s own path', async () => {
		pair = new DaemonPair();
		await pair.start();
		const client = new PipelinedClient(pair.port, FRONT);
		await sendOn(client, begin);
		expect(client.statuses).toEqual([400]);
	});
});

describe('a client that sends what is no request behind an answer that closes its connection', () => {
	// Guards against the same for an answer to a proper request (LOST).
	it('gets the answer whole', async () => {
		mesh = new Mesh();
		const {front, port} = await mesh.addPair();
		const client = new PipelinedClient(port);
		const stopped = front.stop();
		client.pause();
		client.send(buildHead('GET', '/x/', 'first'));
		await sleep(150);
		await sendOn(client, 'no request\r\n\r\n');
		expect(client.statuses).toEqual([200]);
		await stopped;
	});
});

describe('a daemon that stops beside a client that was rejected and keeps its side open', () => {
	// Guards against a stop that lasts until the end of its time because of a connection that nothing closes.
	it('has closed the connection', async () => {
		mesh = new Mesh();
		const {front, port} = await mesh.addPair();
		const client = new PipelinedClient(port);
		client.pause();
		client.send('no request\r\n\r\n');
		await sleep(100);
		await front.stop();
		expect(mesh.logLines.find(line => line.includes('event=stopped'))).toMatch(/connections=0 /v);
	});
});
