import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

/** More than the flow-control window of a streamed body. */
const BODY_BYTES = 900_000;
/** More than the configuration of the tests allows. */
const TOO_MANY_BYTES = 5_000_000;

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const headOf = (path: string, length: number) => buildHead('POST', path, `a${length}`, {more: `content-length: ${length}\r\n`});

describe('a refused upload', () => {
	// Guards against a kept connection that is never read again, as the rest of the body stays unread (CONFIG).
	it.each([
		{name: 'while it still comes', parts: [70_000, BODY_BYTES - 70_000]},
		{name: 'sent at once', parts: [BODY_BYTES]},
		{name: 'and larger than allowed', parts: [70_000, TOO_MANY_BYTES - 70_000]},
	])('leaves its connection in order: $name', async ({parts}) => {
		mesh = new Mesh();
		const {port} = await mesh.addPair({routes: [createRoute('x', 'back'), createRoute('none', 'gone')]});
		const client = new PipelinedClient(port);
		client.send(headOf('/none/', parts.reduce((sum, bytes) => sum + bytes)));
		for (const [index, bytes] of parts.entries()) {
			client.send('x'.repeat(bytes));
			// eslint-disable-next-line no-await-in-loop -- one part after the other
			await expect.poll(() => index > 0 || client.statuses.length > 0, {timeout: 3000}).toBe(true);
		}

		client.send(headOf('/x/', 0));
		await expect.poll(() => client.statuses, {timeout: 3000}).toEqual([503, 200]);
		client.close();
	});
});
