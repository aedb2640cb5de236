import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';

/** More than is collected before the head of an answer is passed on. */
const STREAMED_BYTES = 100_000;
/** More than is in transit between two daemons. */
const LONG_BYTES = 700_000;
const WORK_MS = 300;

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const get = (path: string, id: string) => {
	const fields = Object.entries(createAttemptHeaders(id)).map(([name, value]) => `${name}: ${value}\r\n`);
	return `GET /x/${path} HTTP/1.1\r\n${fields.join('')}\r\n`;
};

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

/** Sends requests on one connection at once. @returns what has come back when `isDone` holds or the connection has ended */
async function pipeline(port: number, text: string, isDone: (received: string) => boolean): Promise<string> {
	return new Promise(resolve => {
		let received = '';
		const socket = connect(port, '127.0.0.1');
		socket.write(text);
		socket.on('data', bytes => {
			received += bytes.toString('latin1');
			if (isDone(received)) {
				socket.destroy();
			}
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(received);
		});
	});
}

const statusesIn = (text: string) => [...text.matchAll(/HTTP\/1\.1 (?<status>\d+)/gv)].map(({groups}) => Number(groups!.status));

describe('an answer that breaks off behind another one on its connection', () => {
	// Guards against a reset that takes the answers of other requests with it (LOST).
	it('is replaced by a failure, and the others arrive', async () => {
		const port = await addPair();
		const received = await pipeline(port, get('slow', 'a') + get('cut', 'b') + get('quick', 'c'), text => statusesIn(text).length === 3);
		expect(statusesIn(received)).toEqual([200, 502, 200]);
	});

	it('breaks the connection if it has begun', async () => {
		const port = await addPair();
		const received = await pipeline(port, get('cut', 'b') + get('slow', 'c'), text => statusesIn(text).length === 2);
		expect(statusesIn(received)).toEqual([200]);
		expect(received.length).toBeLessThan(STREAMED_BYTES + 1000);
	});

	it('arrives whole otherwise, however long it is', async () => {
		const port = await addPair();
		const received = await pipeline(port, get('slow', 'a') + get('long', 'b') + get('quick', 'c'), text => statusesIn(text).length === 3);
		expect(statusesIn(received)).toEqual([200, 200, 200]);
		expect([...received.matchAll(/x/gv)].length).toBeGreaterThanOrEqual(LONG_BYTES);
	});
});
