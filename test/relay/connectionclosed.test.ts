import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

const get = (id: string) => buildHead('GET', '/x/', id);

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const closedLines = () => mesh.logLines.filter(line => line.includes('event=connection_closed'));

describe('the line of a connection that ends with requests unanswered', () => {
	it('tells that the client left while the daemon stopped, and how many it had sent', async () => {
		mesh = new Mesh();
		const {front, back: {target}, port} = await mesh.addPair();
		const counters = target.hang();
		const client = new PipelinedClient(port);
		client.send(get('first') + get('second'));
		await expect.poll(() => counters.begun, {timeout: 5000}).toBe(2);
		const stopped = front.stop();
		client.close();
		await stopped;
		expect(closedLines()).toEqual([expect.stringMatching(/by=client error=\w+ unanswered=2 ignored=0 unansweredBytes=\d+ isStopping=true$/v)]);
	});

	it('tells that the daemon closed it, at any time', async () => {
		mesh = new Mesh();
		const {back: {target}, port} = await mesh.addPair();
		target.behaviourOverride = (request, response) => {
			response.writeHead(200, {[meshHeaders.attemptId]: String(request.headers[meshHeaders.attemptId]), [meshHeaders.signature]: 's', 'content-length': 200_000});
			response.write('x'.repeat(100_000), () => {
				response.destroy();
			});
		};

		const client = new PipelinedClient(port);
		client.send(get('first'));
		await client.closed;
		await expect.poll(closedLines, {timeout: 5000}).toEqual([expect.stringMatching(/by=daemon error=none unanswered=1 ignored=0 unansweredBytes=\d+ isStopping=false$/v)]);
	});

	it('isn\'t written for a connection that owes nothing', async () => {
		mesh = new Mesh();
		const {front, port} = await mesh.addPair();
		const client = new PipelinedClient(port);
		client.send(get('first'));
		await expect.poll(() => client.statuses, {timeout: 5000}).toEqual([200]);
		await front.stop();
		await client.closed;
		expect(closedLines()).toEqual([]);
		expect(mesh.logLines.find(line => line.includes('event=stopping'))).toMatch(/connections=1 /v);
	});
});
