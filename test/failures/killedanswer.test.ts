import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';

const PIECE_BYTES = 100_000;
const PAUSE_MS = 150;

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

/** Adds two daemons and a target that sends these pieces without a length. */
async function addPair(pieces: number, {objectiveMs = 2000, isReset = false} = {}): Promise<number> {
	mesh = new Mesh();
	const routes = [createRoute('x', 'back', {objectiveMs, timeoutMs: 5000, repeatability: 'unsafe'})];
	const {back: {target}, port} = await mesh.addPair({routes, back: {slots: 20}});
	const send = async ({headers, socket}: IncomingMessage) => {
		socket.write(`HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${String(headers[meshHeaders.attemptId])}\r\n${meshHeaders.signature}: s\r\nconnection: close\r\n\r\n`);
		for (let piece = 0; piece < pieces; piece++) {
			socket.write(Buffer.alloc(PIECE_BYTES, 'x'));
			// eslint-disable-next-line no-await-in-loop -- one piece after the other
			await sleep(PAUSE_MS);
		}

		if (isReset) {
			socket.resetAndDestroy();
		} else {
			socket.end();
		}
	};

	target.behaviourOverride = request => {
		void send(request);
	};

	return port;
}

/** Sends a request and reads until the connection ends. */
function read(port: number): {text: () => string; ended: Promise<void>} {
	let text = '';
	const socket = connect(port, '127.0.0.1');
	socket.write(`GET /x/ HTTP/1.1\r\n${Object.entries(createAttemptHeaders('a', 5000)).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`);
	socket.on('data', bytes => {
		text += bytes.toString('latin1');
	});
	socket.on('error', () => undefined);
	return {
		text: () => text, ended: new Promise(resolve => {
			socket.on('close', () => {
				resolve();
			});
		}),
	};
}

describe('an answer without a length', () => {
	// Guards against a part of it that looks whole to the client when its daemon is killed (MIXED).
	it('reaches the client only once it is whole', async () => {
		const {text, ended} = read(await addPair(4));
		await sleep(2.5 * PAUSE_MS);
		expect(text()).toBe('');
		await ended;
		expect(text()).toMatch(/^HTTP\/1\.1 200 [\s\S]*connection: close/iv);
		expect(text().split('x').length - 1).toBe(4 * PIECE_BYTES);
	});

	it('is replaced by a failure if it breaks off', async () => {
		const {text, ended} = read(await addPair(3, {isReset: true}));
		await expect.poll(() => text(), {timeout: 5000}).toMatch(/^HTTP\/1\.1 502/v);
		void ended;
	});

	it.each([
		{name: 'larger than a daemon holds', pieces: 16, objectiveMs: 5000},
		{name: 'slower than its objective', pieces: 5, objectiveMs: 200},
	])('is passed on as it comes if it is $name, and arrives whole', async ({pieces, objectiveMs}) => {
		const {text, ended} = read(await addPair(pieces, {objectiveMs}));
		await sleep((pieces - 1) * PAUSE_MS);
		expect(text().length).toBeGreaterThan(PIECE_BYTES);
		await ended;
		expect(text().split('x').length - 1).toBe(pieces * PIECE_BYTES);
	});
});
