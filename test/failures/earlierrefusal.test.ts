import {type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

const REQUESTS = 12;

/** The text of a refusal: the target has not run the request. */
const refusal = (status: string, headers: string) => `HTTP/1.1 ${status}\r\n${headers}content-length: 0\r\n\r\n`;

const REFUSALS = [
	{name: 'one that names its attempt', textOf: (id: string) => refusal('503 Full', `${meshHeaders.notRun}: 1\r\n${meshHeaders.attemptId}: ${id}\r\n`)},
	{name: 'one that names none', textOf: () => refusal('503 Full', `${meshHeaders.notRun}: 1\r\n`)},
	{name: 'a 429 that names none', textOf: () => refusal('429 Slow down', `${meshHeaders.notRun}: 1\r\n`)},
	{name: 'that another instance is here', textOf: () => refusal('421 Misdirected', `${meshHeaders.instance}: other\r\n`)},
];

describe('an earlier refusal that a target writes once more on a kept connection', () => {
	let mesh: Mesh;
	afterEach(async () => {
		await mesh.close();
	});

	// Guards against "not run" for a request that the target runs (REFUSED), and against its second run elsewhere (TWICE).
	it.each(REFUSALS.flatMap(refusal => [{...refusal, isFromThere: true}, {...refusal, name: `${refusal.name}, made on another connection`, isFromThere: false}]))('is no answer to the request that runs: $name', async ({textOf, isFromThere}) => {
		mesh = new Mesh();
		const routes = [createRoute('x', 'back', {repeatability: 'unsafe'})];
		const target = {service: 'back', slots: 4, workMs: 0};
		const {back, port} = await mesh.addPair({routes, back: target});
		const other = await mesh.addHost('other', {...target, id: 'i-other'});
		await mesh.settle();
		const ran: string[] = [];
		const refusals = new WeakMap<Socket, string>();
		for (const {target: {options}, target} of [back, other]) {
			target.behaviourOverride = request => {
				const id = String(request.headers[meshHeaders.attemptId]);
				const {socket} = request;
				const earlier = refusals.get(socket);
				refusals.set(socket, earlier ?? textOf(isFromThere ? id : 'another'));
				if (earlier === undefined && isFromThere) {
					socket.write(refusals.get(socket)!);
				} else {
					ran.push(id);
					socket.write(`${earlier ?? ''}HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.signature}: ${options.id}\r\ncontent-length: 2\r\n\r\nok`);
				}
			};
		}

		for (let number = 0; number < REQUESTS; number++) {
			const id = `a${number}`;
			// eslint-disable-next-line no-await-in-loop -- each uses the connection of the one before
			const {status} = await call(port, '/x/', {method: 'POST', headers: createAttemptHeaders(id)});
			expect([status, ran.includes(id)]).not.toEqual([503, true]);
			expect(ran.filter(one => one === id).length).toBeLessThan(2);
		}
	});
});

describe('the same on the product\'s own path', () => {
	let pair: DaemonPair;
	beforeEach(async () => {
		pair = new DaemonPair();
		await pair.start();
	});
	afterEach(async () => {
		await pair.close();
	});

	it.each(['echoes the context', 'echoes nothing'])('is no answer to the request that runs, if the target %s', async how => {
		const refusals = new WeakMap<Socket, string>();
		const ran: string[] = [];
		pair.onRequest = (socket, text) => {
			const path = /^\w+ (?<path>\S+)/v.exec(text)?.groups?.path ?? '';
			const context = /^comfreydyke-context: (?<context>\S+)/imv.exec(text)?.groups?.context ?? '';
			const echo = how === 'echoes the context' ? `comfreydyke-context: ${context}\r\n` : '';
			const earlier = refusals.get(socket);
			if (earlier === undefined) {
				const refusal = `HTTP/1.1 503 Full\r\n${echo}comfreydyke-outcome: not-run\r\ncontent-length: 0\r\n\r\n`;
				refusals.set(socket, refusal);
				socket.write(refusal);
			} else {
				ran.push(path);
				socket.write(`${earlier}HTTP/1.1 200 OK\r\n${echo}content-length: 2\r\n\r\nok`);
			}
		};

		for (let index = 0; index < 8; index++) {
			const path = `/submit/${index}`;
			// eslint-disable-next-line no-await-in-loop -- each uses the connection of the one before
			const {status} = await pair.fetch(`/back${path}`, 'POST');
			expect([status, ran.includes(path)]).not.toEqual([503, true]);
			expect(ran.filter(one => one === path).length).toBeLessThan(2);
		}
	});
});
