import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

const GRACE_MS = 3000;
/** Longer than the daemon waits. */
const LONG_MS = 20_000;
const ROUTES = [createRoute('x', 'back', {timeoutMs: LONG_MS, objectiveMs: LONG_MS})];

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const get = (path: string, id: string) => buildHead('GET', `/x/${path}`, id, {deadlineMs: LONG_MS});

describe('the end of the grace period of a stopping daemon', () => {
	// Guards against answers that are made and never written, as the one before them on the connection isn't (LOST).
	it.each([1, 5])('writes the answers that wait behind one that it breaks off: %i', async count => {
		mesh = new Mesh({graceMs: GRACE_MS});
		const {front, back: {target}, port} = await mesh.addPair({routes: ROUTES, back: {slots: 20}});
		const answered: string[] = [];
		target.behaviourOverride = (request, response) => {
			const id = String(request.headers[meshHeaders.attemptId]);
			if (request.url === '/x/short') {
				target.answer(response, id);
				answered.push(id);
			}
		};

		const client = new PipelinedClient(port);
		client.send([get('long', 'first'), ...Array.from({length: count}, (_, index) => get('short', `behind-${index}`))].join(''));
		await expect.poll(() => answered.length, {timeout: 5000}).toBe(count);
		await front.stop();
		await expect.poll(() => client.isClosed, {timeout: 5000}).toBe(true);
		expect(client.statuses).toEqual([502, ...Array.from({length: count}, () => 200)]);
	});
});
