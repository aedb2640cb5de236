import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {
	Mesh, createRoute, createSiteSpec,
} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

const HEADER_TIMEOUT_MS = 400;

const post = (id: string, path = '20') => buildHead('POST', `/x/${path}`, id, {more: 'content-length: 4\r\n', deadlineMs: 5000}) + 'book';

let mesh: Mesh;
let port: number;
/** The attempts that the target has begun. */
let ran: string[];

beforeEach(async () => {
	mesh = new Mesh();
	const routes = [createRoute('x', 'back', {repeatability: 'unsafe', attempts: 1, timeoutMs: 5000})];
	const pair = await mesh.addPair({routes, back: {slots: 20}});
	const spec = createSiteSpec(routes, 2);
	mesh.configure({...spec, limits: {...spec.limits, headerTimeoutMs: HEADER_TIMEOUT_MS}});
	await sleep(200);
	({port} = pair);
	ran = [];
	const {target} = pair.back;
	target.behaviourOverride = (request, response) => {
		const id = String(request.headers[meshHeaders.attemptId]);
		ran.push(id);
		setTimeout(() => {
			target.answer(response, id);
		}, Number(request.url!.split('/')[2]));
	};
});

afterEach(async () => {
	await mesh.close();
});

const connectClient = async () => {
	const client = new PipelinedClient(port);
	await sleep(50);
	return client;
};

describe('a head that is not complete in time', () => {
	// Guards against heads that occupy connections for up to half a minute longer than the operator allows.
	it('ends its connection with 408', async () => {
		const client = await connectClient();
		client.send(post('endless').slice(0, 40));
		await client.closed;
		expect(client.statuses).toEqual([408]);
	});

	// Guards against a client that trickles bytes to keep its connection.
	it('is ended, too, if bytes of it keep coming', async () => {
		const client = await connectClient();
		const head = buildHead('POST', '/x/20', 'trickled', {more: `x: ${'y'.repeat(400)}\r\n`});
		for (let sent = 0; sent < head.length && !client.isClosed; sent++) {
			client.send(head[sent]);
			// eslint-disable-next-line no-await-in-loop -- one byte after the other
			await sleep(20);
		}

		expect(client.statuses).toEqual([408]);
		expect(ran).toEqual([]);
	});
});
