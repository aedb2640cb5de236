import {connect} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';

/** More than the flow-control window of a streamed body. */
const BODY_BYTES = 900_000;

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const headOf = (path: string, length: number) => {
	const fields = Object.entries(createAttemptHeaders(`a${Math.random()}`)).map(([name, value]) => `${name}: ${value}\r\n`);
	return `POST ${path} HTTP/1.1\r\n${fields.join('')}content-length: ${length}\r\n\r\n`;
};

describe('a refused upload', () => {
	// Guards against a kept connection that is never read again, as the rest of the body stays unread (CONFIG).
	it.each([
		{name: 'while it still comes', parts: [70_000, BODY_BYTES - 70_000]},
		{name: 'sent at once', parts: [BODY_BYTES]},
	])('leaves its connection in order: $name', async ({parts}) => {
		mesh = new Mesh();
		const {port} = await mesh.addPair({routes: [createRoute('x', 'back'), createRoute('none', 'gone')]});
		const socket = connect(port, '127.0.0.1');
		let text = '';
		socket.on('data', bytes => {
			text += bytes.toString('latin1');
		});
		const statuses = () => [...text.matchAll(/HTTP\/1\.1 (?<status>\d+)/gv)].map(({groups}) => Number(groups!.status));
		socket.write(headOf('/none/', BODY_BYTES));
		for (const [index, bytes] of parts.entries()) {
			socket.write('x'.repeat(bytes));
			// eslint-disable-next-line no-await-in-loop -- one part after the other
			await expect.poll(() => index > 0 || statuses().length > 0, {timeout: 3000}).toBe(true);
		}

		socket.write(headOf('/x/', 0));
		await expect.poll(() => statuses(), {timeout: 3000}).toEqual([503, 200]);
		socket.destroy();
	});
});
