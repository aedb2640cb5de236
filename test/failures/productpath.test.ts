import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import process from 'node:process';
import {
	afterAll, afterEach, beforeAll, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {DaemonCore} from '../../src/core/index.js';
import {DaemonPair, SLOTS} from '../../standins/daemonpair.js';

const MAX_GROWTH_BYTES = 64 * 1024 * 1024;
const CHUNK = 'x'.repeat(65_536);
const HEAD = 'HTTP/1.1 200 OK\r\n';
const SLOW_ANSWER = `${HEAD}content-length: 500\r\n\r\n${'x'.repeat(500)}`;

let pair: DaemonPair;
beforeAll(async () => {
	pair = new DaemonPair();
	await pair.start();
});
afterEach(async () => {
	vi.restoreAllMocks();
	pair.onRequest = undefined;
	await untilServes();
});
afterAll(async () => {
	await pair.close();
});

/** Writes a text again and again, as fast as the other side reads, until the connection closes. */
function writeForEver(socket: Socket, text: string): void {
	const write = () => {
		let isWritable = true;
		while (isWritable && !socket.destroyed) {
			isWritable = socket.write(text, 'latin1');
		}
	};

	socket.on('drain', write);
	write();
}

async function untilServes(): Promise<void> {
	await expect.poll(async () => pair.call('/back/look'), {timeout: 5000}).toBe(200);
}

const ENDLESS: Record<string, [head: string, repeated: string]> = {
	'in the status line': ['HTTP/1.1 200 ', CHUNK],
	'in one header': [`${HEAD}x: `, CHUNK],
	'in many headers': [HEAD, 'x: y\r\n'.repeat(1000)],
	'in interim answers': ['', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100)],
	'in a chunk extension': [`${HEAD}transfer-encoding: chunked\r\n\r\n1;`, CHUNK],
	'in trailers': [`${HEAD}transfer-encoding: chunked\r\n\r\n0\r\n`, 'x: y\r\n'.repeat(1000)],
	'in a body without a length': [`${HEAD}\r\n`, CHUNK],
	'in chunks': [`${HEAD}transfer-encoding: chunked\r\n\r\n`, '1\r\nx\r\n'.repeat(1000)],
};

describe('an answer that never ends', () => {
	it.each(Object.keys(ENDLESS))('ends in time, and the target serves again: %s', async name => {
		const [head, repeated] = ENDLESS[name];
		pair.onRequest = socket => {
			socket.write(head, 'latin1');
			writeForEver(socket, repeated);
		};

		const before = process.memoryUsage().rss;
		let most = before;
		const timer = setInterval(() => {
			most = Math.max(most, process.memoryUsage().rss);
		}, 20);
		const statuses = await Promise.all([pair.call('/back/look'), pair.call('/back/submit', 'POST')]);
		clearInterval(timer);
		expect(statuses.every(status => status >= 500)).toBe(true);
		expect(most - before).toBeLessThan(MAX_GROWTH_BYTES);
	});

	it('and comes a byte at a time ends in time', async () => {
		pair.onRequest = socket => {
			let sent = 0;
			const timer = setInterval(() => {
				socket.write(SLOW_ANSWER.charAt(sent++));
			}, 30);
			socket.on('close', () => {
				clearInterval(timer);
			});
		};

		expect(await Promise.all([pair.call('/back/look'), pair.call('/back/submit', 'POST')])).toEqual([504, 504]);
	});
});

describe('a second copy of an answer on a connection in use again', () => {
	// The target of the tests above sent answers without a length: for a while its connections aren't used again.
	let fresh: DaemonPair;
	beforeEach(async () => {
		fresh = new DaemonPair();
		await fresh.start();
	});
	afterEach(async () => {
		await fresh.close();
	});

	it.each([200, 500])('is no answer to the next caller if the target echoes the context: %i', async status => {
		const previous = new WeakMap<Socket, string>();
		let copies = 0;
		fresh.onRequest = (socket, text) => {
			const path = /^\w+ (?<path>\S+)/v.exec(text)?.groups?.path ?? '';
			const context = /^comfreydyke-context: (?<context>\S+)/imv.exec(text)?.groups?.context ?? '';
			const answer = `HTTP/1.1 ${status} OK\r\ncomfreydyke-context: ${context}\r\ncontent-length: ${path.length}\r\n\r\n${path}`;
			const copy = previous.get(socket);
			previous.set(socket, answer);
			copies += copy === undefined ? 0 : 1;
			socket.write(`${copy ?? ''}${answer}`);
		};

		for (let index = 0; index < 8; index++) {
			const path = `/look/${index}`;
			// eslint-disable-next-line no-await-in-loop -- each uses the connection of the one before
			const {status: received, text} = await fresh.fetch(`/back${path}`, 'GET');
			expect(received === status ? text : path).toBe(path);
		}

		expect(copies).toBeGreaterThan(0);
	});

	// Guards against bytes of another answer that pass for a part of the body (MIXED).
	it('is no part of an answer without a length, and later ones of these arrive', async () => {
		const framed = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
		const unframed = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';
		const used = new WeakSet<Socket>();
		fresh.onRequest = (socket, text) => {
			const isFramed = text.startsWith('GET /look/framed');
			if (isFramed) {
				socket.write(framed);
			} else {
				socket.end(`${unframed}own ${used.has(socket) ? framed : ''}body`);
			}

			used.add(socket);
		};

		await Promise.all(Array.from({length: SLOTS}, async () => fresh.call('/back/look/framed')));
		const first = await Promise.all(Array.from({length: SLOTS}, async () => fresh.fetch('/back/submit', 'POST')));
		expect(first.filter(({status, text}) => status < 500 && text !== 'own body')).toEqual([]);
		for (let round = 0; round < 3; round++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await fresh.call('/back/look/framed');
			// eslint-disable-next-line no-await-in-loop -- one after the other
			expect(await fresh.fetch('/back/submit', 'POST')).toEqual({status: 200, text: 'own body'});
		}
	});
});

describe('an unexpected error', () => {
	it('in the core ends no daemon', async () => {
		const {step} = DaemonCore.prototype;
		let errors = 0;
		vi.spyOn(DaemonCore.prototype, 'step').mockImplementation(function (this: DaemonCore, input, nowMs) {
			if (input.type === 'request' && errors++ === 0) {
				throw new Error('unexpected');
			}

			return step.call(this, input, nowMs);
		});
		expect(await pair.call('/back/look')).toBe(502);
		expect(errors).toBe(1);
	});

	it.each([['a status', 99, []], ['a header', 200, ['x', 'a\r\nb']], ['an odd header', 200, ['x']]])('by an answer that HTTP cannot carry ends no daemon: %s', async (_name, status, headers) => {
		const {step} = DaemonCore.prototype;
		vi.spyOn(DaemonCore.prototype, 'step').mockImplementation(function (this: DaemonCore, input, nowMs) {
			const payload = {status, headers, body: Buffer.from('x')};
			const result = {
				kind: 'whole', status: 200, claimsNotRun: false, payload,
			} as const;
			return step.call(this, input.type === 'target' ? {...input, result} : input, nowMs);
		});
		expect(await pair.call('/back/look')).toBe(502);
	});
});
