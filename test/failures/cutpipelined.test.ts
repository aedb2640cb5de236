import {Buffer} from 'node:buffer';
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
const WORK_MS = 300;

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const get = (path: string, id: string) => buildHead('GET', `/x/${path}`, id);

/** Adds two daemons and a target whose answers to `cut` break off, while `slow` takes its time. */
async function addPair(): Promise<number> {
	mesh = new Mesh();
	const {back: {target}, port} = await mesh.addPair({back: {slots: 20}});
	target.behaviourOverride = (request, response) => {
		const id = String(request.headers[meshHeaders.attemptId]);
		const work = request.url!.split('/')[2];
		const headers = {[meshHeaders.attemptId]: id, [meshHeaders.signature]: 's'};
		if (work === 'cut') {
			response.writeHead(200, {...headers, 'content-length': STREAMED_BYTES + 1});
			response.write(Buffer.alloc(STREAMED_BYTES, 'x'), () => {
				response.socket!.end();
			});
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

	it('breaks the connection if it has begun', async () => {
		const port = await addPair();
		const client = await pipeline(port, [get('cut', 'b'), get('slow', 'c')]);
		expect(client.statuses).toEqual([200]);
		expect(client.text.length).toBeLessThan(STREAMED_BYTES + 1000);
	});

	it('arrives whole otherwise, however long it is', async () => {
		const port = await addPair();
		const client = await pipeline(port, [get('slow', 'a'), get('long', 'b'), get('quick', 'c')]);
		expect(client.statuses).toEqual([200, 200, 200]);
		expect(client.text.split('x').length - 1).toBeGreaterThanOrEqual(LONG_BYTES);
	});
});
