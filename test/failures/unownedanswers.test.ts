import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';
import {Mesh} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

const WORK_MS = 300;

let close: () => Promise<void>;
afterEach(async () => {
	await close();
});

type Site = {readonly client: PipelinedClient; readonly ran: readonly string[]; readonly requestOf: (id: string, more?: string) => string};

/** A daemon of the platform's path, whose target works for a while on each request. */
async function addMesh(): Promise<Site> {
	const mesh = new Mesh();
	close = async () => mesh.close();
	const {back: {target}, port} = await mesh.addPair({back: {slots: 20}});
	const ran: string[] = [];
	target.behaviourOverride = (request, response) => {
		const id = String(request.headers[meshHeaders.attemptId]);
		ran.push(id);
		setTimeout(() => {
			target.answer(response, id);
		}, WORK_MS);
	};

	return {client: new PipelinedClient(port), ran, requestOf: (id, more = '') => buildHead('GET', '/x/', id, {more})};
}

/** The same of the product's own path. */
async function addProduct(): Promise<Site> {
	const pair = new DaemonPair();
	close = async () => pair.close();
	await pair.start();
	const ran: string[] = [];
	pair.onRequest = (socket, text) => {
		ran.push(/x-id: (?<id>\w+)/v.exec(text)!.groups!.id);
		setTimeout(() => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
		}, WORK_MS);
	};

	return {
		client: new PipelinedClient(pair.port, new URL(pair.front).hostname), ran,
		requestOf: (id, more = '') => `GET /back/look HTTP/1.1\r\nhost: x\r\nx-id: ${id}\r\n${more}\r\n`,
	};
}

describe.each([['the platform\'s path', addMesh], ['the product\'s own path', addProduct]])('%s', (_path, addSite) => {
	// Guards against a request that runs behind an answer that closes its connection, and that its client sends again (TWICE): the HTTP server answered by itself.
	it('answers what follows a request without a host, or doesn\'t run it', async () => {
		const {client, ran, requestOf} = await addSite();
		client.send(requestOf('first').replace(/host: .*?\r\n/v, '') + requestOf('behind'));
		await expect.poll(() => client.isClosed || client.statuses.length === 2, {timeout: 5000}).toBe(true);
		expect(client.statuses).toEqual(ran.includes('behind') ? [400, 200] : [400]);
		expect(ran).not.toContain('first');
	});

	// Guards against the loss of the answer to a client's last request (LOST) by bytes behind it.
	it('answers the request that closes the connection, whatever follows it', async () => {
		const {client, ran, requestOf} = await addSite();
		client.send(requestOf('last', 'connection: close\r\n') + requestOf('behind'));
		await client.closed;
		expect(client.statuses).toEqual([200]);
		expect(ran).toEqual(['last']);
	});
});

describe.each([['the platform\'s path', addMesh], ['the product\'s own path', addProduct]])('a request for a tunnel on %s', (_path, addSite) => {
	const TUNNEL = 'CONNECT x:1 HTTP/1.1\r\nhost: x:1\r\n\r\n';

	// Guards against the loss of answers that are due (LOST): the HTTP server destroyed the connection.
	it('lets the answers before it arrive, and is refused in its turn', async () => {
		const {client, ran, requestOf} = await addSite();
		client.send(requestOf('first') + requestOf('second') + TUNNEL + requestOf('behind'));
		await client.closed;
		expect(client.statuses).toEqual([200, 200, 501]);
		expect(ran.toSorted()).toEqual(['first', 'second']);
	});

	it('is refused on a new connection', async () => {
		const {client} = await addSite();
		client.send(TUNNEL);
		await client.closed;
		expect(client.statuses).toEqual([501]);
	});

	it('counts as not read behind a request that closes the connection', async () => {
		const {client, ran, requestOf} = await addSite();
		client.send(requestOf('last', 'connection: close\r\n') + TUNNEL);
		await client.closed;
		expect(client.statuses).toEqual([200]);
		expect(ran).toEqual(['last']);
	});
});

describe('a request for a tunnel behind a large answer', () => {
	// Guards against an answer that stops half way, as the HTTP server no longer serves the connection.
	it('lets the answer arrive whole, though its client is slow', async () => {
		const largeBytes = 8_000_000;
		const mesh = new Mesh();
		close = async () => mesh.close();
		const {back: {target}, port} = await mesh.addPair();
		target.behaviourOverride = (request, response) => {
			target.answer(response, String(request.headers[meshHeaders.attemptId]), 200, Buffer.alloc(largeBytes, 'x'));
		};

		const client = new PipelinedClient(port);
		client.pause();
		client.send(`${buildHead('GET', '/x/', 'large', {deadlineMs: 10_000})}CONNECT x:1 HTTP/1.1\r\nhost: x:1\r\n\r\n`);
		await sleep(500);
		client.resume();
		await client.closed;
		expect(client.statuses).toEqual([200, 501]);
		expect(client.text.length).toBeGreaterThan(largeBytes);
	});
});

describe('a change of the protocol behind a request at work', () => {
	// Guards against bytes of another protocol where the answer to a request is due (MIXED), and against the loss of that answer (LOST).
	it('isn\'t accepted, and the answer arrives', async () => {
		const {client, ran, requestOf} = await addProduct();
		client.send(requestOf('first'));
		await expect.poll(() => ran, {timeout: 5000}).toEqual(['first']);
		client.send('GET /_comfreydyke/peer HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n');
		await client.closed;
		expect(client.statuses).toEqual([200, 400]);
	});
});
