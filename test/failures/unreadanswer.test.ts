import {type Socket, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {buildHead} from '../../standins/pipelinedclient.js';

/** More than a client's own buffer takes, and less than the daemon's. */
const ANSWER_BYTES = 500_000;
const DEADLINE_MS = 10_000;
const ROUTES = [createRoute('x', 'back', {timeoutMs: DEADLINE_MS, objectiveMs: DEADLINE_MS})];

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

/** Reads all that comes until the connection ends. */
async function readAll(socket: Socket): Promise<number> {
	return new Promise(resolve => {
		let length = 0;
		socket.on('data', bytes => {
			length += bytes.length;
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(length);
		});
		socket.resume();
	});
}

const get = (id: string) => buildHead('GET', '/x/', id, {deadlineMs: DEADLINE_MS});

describe('the last answer on a connection, which its client hasn\'t read yet', () => {
	// Guards against answers that the kernel drops as it resets a closed connection on which requests still come (LOST).
	it.each([
		['a request behind it', get('behind')],
		['requests with bodies behind it', buildHead('POST', '/x/', 'behind', {more: 'content-length: 200000\r\n'}) + 'x'.repeat(200_000)],
		['what is no request', 'no request\r\n\r\n'],
	])('is whole although the client sends %s', async (_, behind) => {
		mesh = new Mesh();
		const {front, back: {target, relay}, port} = await mesh.addPair({routes: ROUTES, back: {bodyBytes: ANSWER_BYTES, workMs: 200}});
		const socket = connect(port, '127.0.0.1');
		socket.pause();
		socket.write(get('first'));
		await expect.poll(() => target.ranAttemptIds, {timeout: 5000}).toEqual(['first']);
		const stopped = front.stop();
		await expect.poll(() => relay.runningCalls, {timeout: 5000}).toBe(0);
		await sleep(100);
		socket.write(behind);
		await sleep(100);
		expect(await readAll(socket)).toBeGreaterThan(ANSWER_BYTES);
		await stopped;
	});
});
