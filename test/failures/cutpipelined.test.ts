import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

/** More than is collected before the head of an answer is passed on. */
const STREAMED_BYTES = 100_000;
/** More than is in transit between two daemons. */
const LONG_BYTES = 700_000;
/** As much as is held back of one answer. */
const HELD_BYTES = 1_048_576;
const WORK_MS = 300;

let mesh: Mesh;
/** The attempts that the target has begun. */
let ran: string[];
afterEach(async () => {
	await mesh.close();
});

const get = (path: string, id: string) => buildHead('GET', `/x/${path}`, id);

/** Adds two daemons and a target whose answers to `cut` break off, while `slow` takes its time. */
async function addPair(): Promise<number> {
	mesh = new Mesh();
	ran = [];
	const {back: {target}, port} = await mesh.addPair({back: {slots: 20}});
	target.behaviourOverride = (request, response) => {
		const id = String(request.headers[meshHeaders.attemptId]);
		ran.push(id);
		const work = request.url!.split('/')[2];
		const headers = {[meshHeaders.attemptId]: id, [meshHeaders.signature]: 's'};
		if (work.startsWith('cut')) {
			const length = work === 'cut-long' ? HELD_BYTES + STREAMED_BYTES : STREAMED_BYTES;
			response.writeHead(200, {...headers, 'content-length': length + 1});
			response.write(Buffer.alloc(length, 'x'), () => {
				setTimeout(() => {
					response.socket!.end();
				}, work === 'cut-late' ? WORK_MS : 0);
			});
		} else if (work === 'late') {
			response.writeHead(200, {...headers, 'content-length': STREAMED_BYTES + 1});
			response.write(Buffer.alloc(STREAMED_BYTES, 'x'));
			setTimeout(() => {
				response.end('x');
			}, WORK_MS);
		} else if (work === 'long') {
			response.writeHead(200, {...headers, 'content-length': LONG_BYTES});
			response.end(Buffer.alloc(LONG_BYTES, 'x'));
		} else {
			setTimeout(() => {
				target.answer(response, id);
			}, work === 'slow' ? WORK_MS : 0);
		}
	};

	return port;
}

/** Sends requests on one connection at once. @returns the client once so many answers have begun or the connection has ended */
async function pipeline(port: number, requests: readonly string[], answers = requests.length): Promise<PipelinedClient> {
	const client = new PipelinedClient(port);
	client.send(requests.join(''));
	await expect.poll(() => client.statuses.length === answers || client.isClosed, {timeout: 5000}).toBe(true);
	return client;
}

describe('an answer that breaks off behind another one on its connection', () => {
	// Guards against a reset that takes the answers of other requests with it (LOST).
	it('is replaced by a failure, and the others arrive', async () => {
		const port = await addPair();
		const client = await pipeline(port, [get('slow', 'a'), get('cut', 'b'), get('quick', 'c')]);
		expect(client.statuses).toEqual([200, 502, 200]);
	});

	// Guards against a reset that takes the answers to requests behind it along (LOST).
	it('is replaced by a failure if others follow it, and these arrive', async () => {
		const port = await addPair();
		const client = await pipeline(port, [get('cut', 'b'), get('slow', 'c'), get('quick', 'd')]);
		expect(client.statuses).toEqual([502, 200, 200]);
	});

	it('breaks the connection if it has begun', async () => {
		const port = await addPair();
		const client = new PipelinedClient(port);
		client.send(get('cut-late', 'b'));
		await expect.poll(() => client.statuses, {timeout: 5000}).toEqual([200]);
		client.send(get('slow', 'c'));
		await client.closed;
		expect(client.statuses).toEqual([200]);
		expect(client.text.length).toBeLessThan(STREAMED_BYTES + 1000);
	});

	it('breaks the connection if it is too long to be held back', async () => {
		const port = await addPair();
		const client = await pipeline(port, [get('cut-long', 'b'), get('slow', 'c')]);
		await client.closed;
		expect(client.statuses).toEqual([200]);
	});

	// Guards against requests that sound targets run and whose answers are lost with that connection (LOST).
	it('takes no request along that came after its beginning', async () => {
		const port = await addPair();
		const client = new PipelinedClient(port);
		client.send(get('cut-late', 'b'));
		await expect.poll(() => client.statuses, {timeout: 5000}).toEqual([200]);
		client.send(get('slow', 'c') + get('quick', 'd'));
		await client.closed;
		expect(ran).toEqual(['b']);
	});

	it('takes none along that came before its turn, but after its head', async () => {
		const port = await addPair();
		const client = new PipelinedClient(port);
		client.send(get('slow', 'a') + get('cut-late', 'b'));
		await expect.poll(() => ran, {timeout: 5000}).toEqual(['a', 'b']);
		await sleep(WORK_MS / 3);
		client.send(get('quick', 'c'));
		await client.closed;
		expect(client.statuses).toEqual([200, 200]);
		expect(ran).toEqual(['a', 'b']);
	});

	it('lets those behind it run once it is whole', async () => {
		const port = await addPair();
		const client = new PipelinedClient(port);
		client.send(get('late', 'b'));
		await expect.poll(() => client.statuses, {timeout: 5000}).toEqual([200]);
		client.send(get('slow', 'c') + get('quick', 'd'));
		await expect.poll(() => client.statuses, {timeout: 5000}).toEqual([200, 200, 200]);
		expect(ran.toSorted()).toEqual(['b', 'c', 'd']);
	});

	it('has those behind it refused at their deadline, unrun, if it lasts longer', async () => {
		const port = await addPair();
		const client = new PipelinedClient(port);
		client.send(get('late', 'b'));
		await expect.poll(() => client.statuses, {timeout: 5000}).toEqual([200]);
		client.send(buildHead('GET', '/x/quick', 'c', {deadlineMs: 50}));
		await expect.poll(() => client.statuses, {timeout: 5000}).toEqual([200, 503]);
		expect(ran).toEqual(['b']);
	});

	it('arrives whole otherwise, however long it is', async () => {
		const port = await addPair();
		const client = await pipeline(port, [get('slow', 'a'), get('long', 'b'), get('quick', 'c')]);
		expect(client.statuses).toEqual([200, 200, 200]);
		expect(client.text.split('x').length - 1).toBeGreaterThanOrEqual(LONG_BYTES);
	});
});
