import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

// Guards against an answer with a status that no answer has, which reaches a caller as if it were one (MIXED).

const ODD = ['000', '001', '099', '101', '600', '700', '799', '999'];
const ENDS: ReadonlyArray<[name: string, head: string]> = [
	['with a body', 'content-length: 4\r\n\r\nbody'],
	['without a body', 'content-length: 0\r\n\r\n'],
	['without a length', 'connection: close\r\n\r\nbody'],
	['in chunks', 'transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'],
	['that claims not to have run', `${meshHeaders.notRun}: 1\r\ncomfreydyke-outcome: not-run\r\ncontent-length: 0\r\n\r\n`],
];
const CASES = ODD.flatMap(status => ENDS.map(([name, end]) => ({status, name, end})));
/** Interim answers, behind which the answer comes. */
const INTERIM = ['102', '103', '199'];

describe('an answer with an odd status, on the platform\'s path', () => {
	let mesh: Mesh;
	beforeEach(() => {
		mesh = new Mesh();
	});
	afterEach(async () => {
		await mesh.close();
	});

	it.each(CASES)('fails the request, and others are served: $status $name', async ({status, end}) => {
		const {back, port} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe'})]});
		back.target.behaviourOverride = (request, response) => {
			const id = String(request.headers[meshHeaders.attemptId]);
			if (request.url === '/x/odd') {
				request.socket.write(`HTTP/1.1 ${status} Odd\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.signature}: of-${id}\r\n${end}`);
			} else {
				back.target.answer(response, id);
			}
		};

		const answers = [];
		for (const path of ['/x/', '/x/odd', '/x/odd', '/x/']) {
			// eslint-disable-next-line no-await-in-loop -- each may use the connection of the one before
			const {status: received, headers} = await call(port, path, {method: 'POST', headers: createAttemptHeaders(`a${answers.length}`, 1000)});
			answers.push([received, headers[meshHeaders.signature] !== undefined]);
		}

		expect(answers).toEqual([[200, true], [502, false], [502, false], [200, true]]);
	});

	it.each(INTERIM)('is interim, and the answer behind it arrives: %s', async status => {
		const {back, port} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe'})]});
		back.target.behaviourOverride = (request, response) => {
			response.socket!.write(`HTTP/1.1 ${status} Interim\r\n${meshHeaders.notRun}: 1\r\n\r\n`);
			back.target.answer(response, String(request.headers[meshHeaders.attemptId]));
		};

		for (const id of ['a', 'b', 'c']) {
			// eslint-disable-next-line no-await-in-loop -- each uses the connection of the one before
			const {status: received} = await call(port, '/x/', {method: 'POST', headers: createAttemptHeaders(id)});
			expect(received).toBe(200);
		}
	});
});

describe('an answer with an odd status, on the product\'s own path', () => {
	let pair: DaemonPair;
	beforeEach(async () => {
		pair = new DaemonPair();
		await pair.start();
	});
	afterEach(async () => {
		await pair.close();
	});

	it.each(CASES)('fails the request, and others are served: $status $name', async ({status, end}) => {
		pair.onRequest = (socket, text) => {
			socket.write(text.startsWith('POST /submit/odd') ? `HTTP/1.1 ${status} Odd\r\n${end}` : 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
		};

		const statuses = [];
		for (const path of ['/back/submit', '/back/submit/odd', '/back/submit/odd', '/back/submit']) {
			// eslint-disable-next-line no-await-in-loop -- each may use the connection of the one before
			statuses.push(await pair.call(path, 'POST'));
		}

		expect(statuses).toEqual([200, 502, 502, 200]);
	});

	it.each(INTERIM)('is interim, and the answer behind it arrives: %s', async status => {
		pair.onRequest = socket => {
			socket.write(`HTTP/1.1 ${status} Interim\r\ncomfreydyke-outcome: not-run\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok`);
		};

		for (let index = 0; index < 3; index++) {
			// eslint-disable-next-line no-await-in-loop -- each uses the connection of the one before
			expect(await pair.fetch('/back/submit', 'POST')).toEqual({status: 200, text: 'ok'});
		}
	});
});
