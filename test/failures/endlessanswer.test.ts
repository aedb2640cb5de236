import {Buffer} from 'node:buffer';
import process from 'node:process';
import {type ServerResponse} from 'node:http';
import {type Socket, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

const DEADLINE_MS = 1200;
const FILL = 'x'.repeat(16_384);
/** What a daemon may hold of one answer, in bytes; each of these answers sends many times as much until its deadline. */
const MAX_HELD_BYTES = 96 * 1024 * 1024;
const MEBIBYTE = 1024 * 1024;

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

/** Writes the parts of `next` for as long as the connection accepts them. */
function pour(socket: Socket, next: () => string): void {
	while (socket.writable && socket.write(next())) {
		// Until the connection is full
	}

	if (socket.writable) {
		socket.once('drain', () => {
			pour(socket, next);
		});
	}
}

/** Sends a request and reads until the connection closes; an HTTP client takes an answer without a length as whole even after a reset. */
async function callRaw(port: number, headers: Record<string, string>): Promise<{status: number; wasReset: boolean}> {
	return new Promise(resolve => {
		let status = 0;
		const socket = connect(port, '127.0.0.1');
		const fields = Object.entries({...headers, connection: 'close'}).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		socket.write(`GET /x/ HTTP/1.1\r\n${fields}\r\n`);
		socket.on('data', (bytes: Buffer) => {
			status ||= Number(bytes.toString('latin1', 9, 12));
		});
		socket.on('error', () => {
			resolve({status, wasReset: true});
		});
		socket.on('close', () => {
			resolve({status, wasReset: false});
		});
	});
}

type EndlessAnswer = {readonly name: string; readonly begin: (id: string) => string; readonly next: () => string};

const signed = (id: string) => `HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.signature}: s/${id}\r\n`;
const ENDLESS_ANSWERS: EndlessAnswer[] = [
	{name: 'a reason phrase', begin: () => 'HTTP/1.1 200 ', next: () => FILL},
	{name: 'one header', begin: () => 'HTTP/1.1 200 OK\r\nx: ', next: () => FILL},
	{name: 'headers', begin: () => 'HTTP/1.1 200 OK\r\n', next: () => 'x-more: y\r\n'.repeat(1000)},
	{name: 'interim answers', begin: () => '', next: () => 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500)},
	{name: 'a chunk extension', begin: id => `${signed(id)}transfer-encoding: chunked\r\n\r\n1;`, next: () => FILL},
	{name: 'trailers', begin: id => `${signed(id)}transfer-encoding: chunked\r\n\r\n0\r\n`, next: () => 'x-more: y\r\n'.repeat(1000)},
	{name: 'bytes that are no HTTP', begin: () => '', next: () => FILL},
	{name: 'the body of an answer that says that it has not run', begin: id => `HTTP/1.1 503 Full\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.notRun}: 1\r\n\r\n`, next: () => FILL},
	{name: 'the body of a success without a signature', begin: id => `HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${id}\r\n\r\n`, next: () => FILL},
	{name: 'the body of a failure', begin: id => `HTTP/1.1 500 No\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.signature}: s/${id}\r\n\r\n`, next: () => FILL},
];

describe('a target whose answer never ends', () => {
	it.each(ENDLESS_ANSWERS)('costs its caller no more than its time, and the daemon no memory, if it sends $name', async ({begin, next}) => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair();
		back.target.behaviourOverride = (request, response: ServerResponse) => {
			const socket = response.socket!;
			socket.write(begin(String(request.headers[meshHeaders.attemptId])));
			pour(socket, next);
		};

		const heldBefore = process.memoryUsage().rss;
		let mostHeld = 0;
		const watch = setInterval(() => {
			mostHeld = Math.max(mostHeld, process.memoryUsage().rss - heldBefore);
		}, 20);
		const {status, wasReset} = await callRaw(port, createAttemptHeaders('endless', DEADLINE_MS));
		clearInterval(watch);
		expect(wasReset || [502, 503, 504].includes(status)).toBe(true);
		expect(mostHeld / MEBIBYTE).toBeLessThan(MAX_HELD_BYTES / MEBIBYTE);
		back.target.behaviourOverride = undefined;
		await expect.poll(async () => {
			const {status} = await call(port, '/x/', {headers: createAttemptHeaders(`after-${Date.now()}`)});
			return status;
		}, {timeout: 3000}).toBe(200);
	});

	it('gives up a caller that has left, although its bytes go on', async () => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair();
		let isClosed = false;
		back.target.behaviourOverride = (request, response) => {
			const socket = response.socket!;
			socket.on('close', () => {
				isClosed = true;
			});
			socket.write(`${signed(String(request.headers[meshHeaders.attemptId]))}\r\n`);
			pour(socket, () => FILL);
		};

		const leaving = new AbortController();
		const answer = call(port, '/x/', {headers: createAttemptHeaders('left', 5000), signal: leaving.signal});
		setTimeout(() => {
			leaving.abort();
		}, 300);
		await answer;
		await expect.poll(() => isClosed, {timeout: 1000}).toBe(true);
	});
});

const OUTSIDE: ReadonlyArray<{readonly name: string; readonly begin: (id: string) => string; readonly afterMs: number; readonly next: () => string}> = [
	{
		name: 'behind a whole answer', begin: id => `${signed(id)}content-length: 2\r\n\r\nok`, afterMs: 0, next: () => FILL,
	},
	{
		name: 'on an idle connection', begin: id => `${signed(id)}content-length: 2\r\n\r\nok`, afterMs: 50, next: () => FILL,
	},
	{
		name: 'on an idle connection, of an answer to nothing', begin: id => `${signed(id)}content-length: 2\r\n\r\nok`, afterMs: 50, next: () => 'HTTP/1.1 200 OK\r\n'.padEnd(16_384, 'x'),
	},
	{
		name: 'on an idle connection, of line ends', begin: id => `${signed(id)}content-length: 2\r\n\r\nok`, afterMs: 50, next: () => '\r\n'.repeat(8192),
	},
];

describe('bytes without end that belong to no answer', () => {
	it.each(OUTSIDE)('cost the daemon no memory, and no other call its answer: $name', async ({begin, afterMs, next}) => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair();
		back.target.behaviourOverride = ({headers, socket}) => {
			socket.write(begin(String(headers[meshHeaders.attemptId])));
			setTimeout(() => {
				pour(socket, next);
			}, afterMs);
		};

		const heldBefore = process.memoryUsage().rss;
		let mostHeld = 0;
		for (let number = 0; number < 10; number++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			const {status, body} = await call(port, '/x/', {headers: createAttemptHeaders(`a${number}`)});
			expect(status === 502 || body.toString() === 'ok').toBe(true);
			// eslint-disable-next-line no-await-in-loop -- the bytes go on meanwhile
			await sleep(100);
			mostHeld = Math.max(mostHeld, process.memoryUsage().rss - heldBefore);
		}

		expect(mostHeld / MEBIBYTE).toBeLessThan(MAX_HELD_BYTES / MEBIBYTE);
	});
});

describe('an answer in chunks of a byte', () => {
	/** Callers that read nothing, and have sent a second request behind the first: the daemon holds the first answer back. */
	const CALLERS = 4;
	const SENDING_MS = 4000;

	// Guards against a daemon that runs out of memory, because each chunk takes much more of it than its bytes.
	it('takes about as much memory as it has bytes', async () => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair({routes: [createRoute('x', 'back', {timeoutMs: 2 * SENDING_MS})], back: {slots: 2 * CALLERS}});
		back.target.behaviourOverride = (request, response) => {
			response.socket!.write(`${signed(String(request.headers[meshHeaders.attemptId]))}transfer-encoding: chunked\r\n\r\n`);
			pour(response.socket!, () => '1\r\nx\r\n'.repeat(8000));
		};

		const heldBefore = process.memoryUsage().rss;
		let mostHeld = 0;
		const watch = setInterval(() => {
			mostHeld = Math.max(mostHeld, process.memoryUsage().rss - heldBefore);
		}, 20);
		const clients = Array.from({length: CALLERS}, (_, number) => {
			const client = new PipelinedClient(port);
			client.pause();
			client.send(['first', 'second'].map(name => buildHead('GET', '/x/', `${name}-${number}`, {deadlineMs: SENDING_MS})).join(''));
			return client;
		});
		await sleep(SENDING_MS);
		clearInterval(watch);
		for (const client of clients) {
			client.close();
		}

		expect(mostHeld / MEBIBYTE).toBeLessThan(MAX_HELD_BYTES / MEBIBYTE);
	});
});

describe('a header of an answer that holds bytes beyond ASCII', () => {
	it.each([['utf8', Buffer.from('Łódź')], ['no utf8', Buffer.from([0x4C, 0xE9, 0xFF])]])('reaches the caller and ends no other call: %s', async (_name, value) => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair();
		back.target.behaviourOverride = (request, response) => {
			const id = String(request.headers[meshHeaders.attemptId]);
			setTimeout(() => {
				response.socket!.write(Buffer.concat([Buffer.from(`${signed(id)}x-city: `), request.url === '/x/plain' ? Buffer.from('plain') : value, Buffer.from('\r\ncontent-length: 2\r\n\r\nok')]));
			}, request.url === '/x/plain' ? 300 : 20);
		};

		const plain = call(port, '/x/plain', {headers: createAttemptHeaders('plain')});
		const odd = await call(port, '/x/odd', {headers: createAttemptHeaders('odd')});
		const {status} = await plain;
		expect([odd.status, odd.body.toString(), status]).toEqual([200, 'ok', 200]);
	});
});
