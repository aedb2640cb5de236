import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Socket, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {WebSocket} from 'ws';
import {FrameTag} from '../../src/relay/peers/frame.js';
import {pack, unpack} from '../../src/wire/index.js';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

const ROUNDS = 6;

let mesh: Mesh;
afterEach(async () => {
	vi.restoreAllMocks();
	await mesh.close();
});

const idOf = ({headers}: IncomingMessage) => String(headers[meshHeaders.attemptId]);
const answerTo = (id: string, {status = '200 OK', hasId = true, body = 'ok'} = {}) =>
	`HTTP/1.1 ${status}\r\n${hasId ? `${meshHeaders.attemptId}: ${id}\r\n` : ''}${meshHeaders.signature}: of-${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

/** What a target sends of the answer before, between that answer and the next one on the connection. */
type Copy = {
	readonly name: string;
	readonly method?: 'GET' | 'HEAD';
	/** Sent while the connection is idle. */
	readonly early?: (previous: string) => string;
	/** Sent once the next request has arrived, before its own answer. */
	readonly late?: (previous: string) => string;
	/** Whether the next request's own answer never comes. */
	readonly isLost?: boolean;
};

const COPIES: Copy[] = [
	{name: 'the whole answer, late', late: id => answerTo(id)},
	{name: 'the whole answer, late, in place of the next', late: id => answerTo(id), isLost: true},
	{name: 'the whole answer while the connection is idle', early: id => answerTo(id)},
	{name: 'the answer in two pieces across the reuse', early: id => answerTo(id).slice(0, 20), late: id => answerTo(id).slice(20)},
	{name: 'its last byte across the reuse', early: id => answerTo(id).slice(0, -1), late: () => 'k'},
	{name: 'the answer after an interim one', late: id => `HTTP/1.1 102 Processing\r\n\r\n${answerTo(id)}`},
	{name: 'the body of an answer to HEAD', method: 'HEAD', early: () => 'ok'},
	{name: 'the body of an answer to HEAD, late', method: 'HEAD', late: () => 'ok'},
	{name: 'a success without an id', late: id => answerTo(id, {hasId: false})},
	{name: 'a failure without an id', late: id => answerTo(id, {hasId: false, status: '500 No'})},
	{name: 'a refusal of the one before', late: id => answerTo(id, {status: `503 Full\r\n${meshHeaders.notRun}: 1`})},
];

describe('a second copy of an answer on a connection in use again', () => {
	it.each(COPIES)('is no answer to the next caller: $name', async ({method = 'GET', early, late, isLost = false}) => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe'})], back: {slots: 1}});
		const previousIds = new WeakMap<Socket, string>();
		let copies = 0;
		back.target.behaviourOverride = request => {
			const {socket} = request;
			const id = idOf(request);
			const previous = previousIds.get(socket);
			previousIds.set(socket, id);
			if (previous !== undefined && late !== undefined) {
				copies++;
				socket.write(late(previous));
			}

			if (previous === undefined || !isLost) {
				socket.write(method === 'HEAD' ? answerTo(id).slice(0, -2) : answerTo(id));
			}

			if (early !== undefined) {
				setTimeout(() => {
					copies++;
					socket.write(early(id));
				}, 5);
			}
		};

		for (let round = 0; round < ROUNDS; round++) {
			// eslint-disable-next-line no-await-in-loop -- each reuses the connection of the one before
			const {status, headers} = await call(port, '/x/', {method, headers: createAttemptHeaders(`r${round}`, 500)});
			expect([200, 502, 504]).toContain(status);
			expect(headers[meshHeaders.signature] ?? `of-r${round}`).toBe(`of-r${round}`);
			if (round % 2 === 0) {
				// eslint-disable-next-line no-await-in-loop -- every second copy finds the connection idle
				await sleep(15);
			}
		}

		// A connection that carried a HEAD request isn't used again.
		expect(copies > 0 || method === 'HEAD').toBe(true);
	});

	it('reaches no request that a client sent behind another', async () => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair({back: {slots: 4}});
		const previousIds = new WeakMap<Socket, string>();
		back.target.behaviourOverride = request => {
			const {socket} = request;
			const previous = previousIds.get(socket);
			previousIds.set(socket, idOf(request));
			socket.write(`${previous === undefined ? '' : answerTo(previous)}${answerTo(idOf(request))}`);
		};

		const client = connect(port, '127.0.0.1');
		let text = '';
		client.on('data', bytes => {
			text += bytes.toString();
		});
		client.on('error', () => undefined);
		const ids = Array.from({length: 8}, (_, number) => `p${number}`);
		for (const id of ids) {
			const fields = Object.entries(createAttemptHeaders(id, 800)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
			client.write(`GET /x/ HTTP/1.1\r\n${fields}\r\n`);
			// eslint-disable-next-line no-await-in-loop -- the connections to the target are used again
			await sleep(20);
		}

		await expect.poll(() => text.split('HTTP/1.1 ').length - 1, {timeout: 4000}).toBe(ids.length);
		client.destroy();
		const answers = text.split('HTTP/1.1 ').slice(1);
		for (const [index, answer] of answers.entries()) {
			const signature = /^signature: of-(?<id>\w+)/mv.exec(answer)?.groups?.id;
			expect([undefined, ids[index]]).toContain(signature);
		}
	});
});

/** What a target sends of its answer before while it sends an answer without a length, of which `own` is the body. */
const INSIDE: ReadonlyArray<{readonly name: string; readonly parts: (own: string, copy: string) => string[]}> = [
	{name: 'nothing', parts: own => [own]},
	{name: 'the whole answer, before the body', parts: (own, copy) => [copy, own]},
	{name: 'the whole answer, in the middle of the body', parts: (own, copy) => [own.slice(0, 10), copy, own.slice(10)]},
	{name: 'the whole answer, behind the body', parts: (own, copy) => [own, copy]},
	{name: 'its first bytes', parts: (own, copy) => [own, copy.slice(0, 12)]},
	{name: 'its last bytes', parts: (own, copy) => [copy.slice(-5), own]},
];

describe('a second copy of an answer inside one without a length', () => {
	const BODY = 'own body of this answer';
	const unframed = (id: string, more: string) => `HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.signature}: of-${id}\r\nconnection: close\r\n${more}\r\n`;
	const cases = INSIDE.flatMap(inside => ['', 'transfer-encoding: identity\r\n'].map(more => ({...inside, more})));

	// Guards against bytes of another answer that pass for a part of the body (MIXED).
	it.each(cases)('is no part of it, and later ones arrive: $name, $more', async ({parts, more}) => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe'})], back: {slots: 4}});
		const previousIds = new WeakMap<Socket, string>();
		const answer = async (request: IncomingMessage) => {
			const {socket, url} = request;
			const id = idOf(request);
			const previous = previousIds.get(socket);
			previousIds.set(socket, id);
			if (url === '/x/framed') {
				socket.write(answerTo(id));
				return;
			}

			socket.write(unframed(id, more));
			for (const part of previous === undefined ? [BODY] : parts(BODY, answerTo(previous))) {
				// eslint-disable-next-line no-await-in-loop -- one piece after the other
				await sleep(10);
				socket.write(part);
			}

			socket.end();
		};

		back.target.behaviourOverride = request => {
			void answer(request);
		};

		const ask = async (path: string, id: string) => call(port, path, {method: 'POST', headers: createAttemptHeaders(id)});
		// As many connections as the target has slots.
		await Promise.all(['f0', 'f1', 'f2', 'f3'].map(async id => ask('/x/framed', id)));
		const first = await Promise.all(['u0', 'u1', 'u2', 'u3'].map(async id => ask('/x/unframed', id)));
		for (const {status, body} of first) {
			expect(status === 502 || body.toString() === BODY).toBe(true);
		}

		for (const round of ['a', 'b', 'c']) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await ask('/x/framed', `f-${round}`);
			// eslint-disable-next-line no-await-in-loop -- one after the other
			const {status, body} = await ask('/x/unframed', `u-${round}`);
			expect([status, body.toString()]).toEqual([200, BODY]);
		}
	});
});

/** Sends each answer between two daemons a second time, before the next one. @returns how many callers got an answer that isn't their own */
async function countStrayAnswers(copyOf: (previous: unknown[], next: unknown[]) => unknown[]): Promise<number> {
	mesh = new Mesh();
	const {port} = await mesh.addPair({back: {slots: 40, workMs: 20}});
	let previous: unknown[] | undefined;
	let copies = 0;
	const send = WebSocket.prototype.send as (this: WebSocket, data: Buffer) => void;
	vi.spyOn(WebSocket.prototype, 'send').mockImplementation(function (this: WebSocket, data) {
		const frame = unpack(data as Buffer) as unknown[];
		if (frame[0] === FrameTag.answer) {
			if (previous !== undefined) {
				copies++;
				send.call(this, pack(copyOf(previous, frame)));
			}

			previous = frame;
		}

		send.call(this, data as Buffer);
	});
	// One after the other, then several at once.
	const ids = Array.from({length: 20}, (_, number) => `s${number}`);
	const ask = async (id: string) => {
		const {status, headers} = await call(port, '/x/', {headers: createAttemptHeaders(id)});
		return status !== 200 || headers[meshHeaders.signature] === `i-back/${id}`;
	};

	let strays = 0;
	for (const id of ids.slice(0, 10)) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		strays += await ask(id) ? 0 : 1;
	}

	const others = await Promise.all(ids.slice(10).map(async id => ask(id)));
	expect(copies).toBeGreaterThan(ids.length / 2);
	return strays + others.filter(isOwn => !isOwn).length;
}

describe('a second copy of an answer between two daemons', () => {
	it('is no answer to another call on the link', async () => {
		expect(await countStrayAnswers(previous => previous)).toBe(0);
	});

	it('is reported if call ids are given twice', async () => {
		expect(await countStrayAnswers((previous, next) => previous.with(1, next[1]))).toBeGreaterThan(0);
	});
});
