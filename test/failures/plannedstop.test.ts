import {type Socket, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {
	Mesh, createRoute, createSiteSpec,
} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';

const ROUTES = [createRoute('x', 'back', {repeatability: 'unsafe'})];
/** Longer than a busy machine takes for all requests of a client. */
const LONG_MS = 20_000;
const LONG_ROUTES = [createRoute('x', 'back', {repeatability: 'unsafe', timeoutMs: LONG_MS, objectiveMs: LONG_MS})];
/** The rest of a request comes well within the time in which a stopping daemon still reads. */
const REST_AFTER_MS = 120;
const LAME_DUCK_MS = 300;
/** As many as a daemon starts of one connection, with answers as large in all as the buffers of two sockets several times over. */
const REQUESTS = 30;
const ANSWER_BYTES = 600_000;

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const headOf = (id: string, more = '', deadlineMs?: number) => {
	const fields = Object.entries(createAttemptHeaders(id, deadlineMs)).map(([name, value]) => `${name}: ${value}\r\n`);
	return `POST /x/ HTTP/1.1\r\n${fields.join('')}${more}\r\n`;
};

/** Sends the parts of a request with a pause between them. @returns all that comes back until the connection closes */
async function exchange(port: number, parts: readonly string[], pauseMs: number): Promise<string> {
	const socket: Socket = connect(port, '127.0.0.1');
	let text = '';
	socket.on('data', bytes => {
		text += bytes.toString();
	});
	const closed = new Promise<void>(resolve => {
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve();
		});
	});
	for (const [index, part] of parts.entries()) {
		if (index > 0) {
			// eslint-disable-next-line no-await-in-loop -- one part after the other
			await sleep(pauseMs);
		}

		socket.write(part);
	}

	await closed;
	return text;
}

const statusesIn = (text: string) => [...text.matchAll(/HTTP\/1\.1 (?<status>\d+)/gv)].map(({groups}) => Number(groups!.status));

type Stop = {readonly name: string; readonly beside: (front: {stop: () => Promise<void>}) => void};
const STOPS: Stop[] = [
	{name: 'alone', beside: () => undefined},
	{
		name: 'with a second signal',
		beside(front) {
			void front.stop();
		},
	},
	{
		name: 'while a configuration arrives',
		beside() {
			mesh.configure(createSiteSpec([...ROUTES, createRoute('y', 'back')], 2));
		},
	},
];

describe('a planned stop under load', () => {
	it.each(STOPS)('answers whatever it has read, $name', async ({beside}) => {
		mesh = new Mesh();
		const {front, back, port} = await mesh.addPair({routes: ROUTES, back: {slots: 100, workMs: 150}});
		const running = Array.from({length: 10}, async (_, number) => exchange(port, [headOf(`running-${number}`, 'content-length: 0\r\n')], 0));
		const halfHeads = Array.from({length: 5}, async (_, number) => {
			const head = headOf(`half-${number}`, 'content-length: 0\r\n');
			return exchange(port, [head.slice(0, 30), head.slice(30)], REST_AFTER_MS);
		});
		const bodies = Array.from({length: 5}, async (_, number) => exchange(port, [headOf(`body-${number}`, 'content-length: 6\r\n') + 'abc', 'def'], REST_AFTER_MS));
		await sleep(40);
		const accepted = Array.from({length: 20}, async (_, number) => exchange(port, [headOf(`accepted-${number}`, 'content-length: 0\r\n')], 0));
		const behind = exchange(port, [headOf('first', 'content-length: 0\r\n') + headOf('behind', 'content-length: 0\r\n')], 0);
		const stopped = front.stop();
		beside(front);
		const answers = await Promise.all([...running, ...halfHeads, ...bodies, ...accepted]);
		expect(answers.map(text => statusesIn(text))).toEqual(answers.map(() => [200]));
		// The one behind another is answered, too, or wasn't read and has run nowhere.
		const [first, second] = statusesIn(await behind);
		expect(first).toBe(200);
		expect([200, undefined]).toContain(second);
		expect(back.target.ranAttemptIds.filter(id => id === 'behind')).toHaveLength(second === undefined ? 0 : 1);
		await stopped;
	});
});

describe('a planned stop of a daemon whose clients are slow', () => {
	it('waits until all answers are written', async () => {
		mesh = new Mesh();
		const {front, back, port} = await mesh.addPair({routes: LONG_ROUTES, back: {slots: 100, bodyBytes: ANSWER_BYTES}});
		const socket = connect(port, '127.0.0.1');
		socket.pause();
		// All are read at once, and the buffers of the two sockets don't hold the answers.
		socket.write(Array.from({length: REQUESTS}, (_, number) => headOf(`slow-${number}`, 'content-length: 0\r\n', LONG_MS)).join(''));
		await expect.poll(() => back.target.ranAttemptIds.length, {timeout: 10_000}).toBe(REQUESTS);
		let isStopped = false;
		const stopped = (async () => {
			await front.stop();
			isStopped = true;
		})();
		await sleep(2 * LAME_DUCK_MS);
		expect(isStopped).toBe(false);
		let length = 0;
		socket.on('data', bytes => {
			length += bytes.length;
		});
		socket.resume();
		await stopped;
		await sleep(50);
		expect(length).toBeGreaterThan(REQUESTS * ANSWER_BYTES);
	});

	it.each([
		{name: 'with half a head', early: 30},
		{name: 'accepted just now', early: 0},
	])('answers a connection $name, though its request comes after the drain', async ({early}) => {
		mesh = new Mesh();
		const {front, back, port} = await mesh.addPair({routes: ROUTES});
		const stopped = front.stop();
		await sleep(LAME_DUCK_MS - 50);
		const head = headOf('late', 'content-length: 0\r\n');
		const answer = await exchange(port, [head.slice(0, early), head.slice(early)], 100);
		expect([statusesIn(answer), back.target.ranAttemptIds]).toEqual([[200], ['late']]);
		await stopped;
	});
});

describe('a request that comes late in the grace period of a stopping daemon', () => {
	const GRACE_MS = 3000;
	/** Longer than the daemon waits, but not than the client. */
	const WORK_MS = 2600;
	const head = headOf('late', 'content-length: 6\r\n', LONG_MS);

	// Guards against requests that are passed on and cut off when the grace period ends (LOST).
	it.each([
		{name: 'the rest of its head', parts: [head.slice(0, 30), `${head.slice(30)}abcdef`], pauseMs: 1000},
		{name: 'the rest of its body', parts: [`${head}abc`, 'def'], pauseMs: 1000},
		{name: 'its head', parts: ['', `${head}abcdef`], pauseMs: 100},
	])('is not run if its deadline is later: $name comes late', async ({parts, pauseMs}) => {
		mesh = new Mesh({graceMs: GRACE_MS});
		const {front, back, port} = await mesh.addPair({routes: LONG_ROUTES, back: {workMs: WORK_MS}});
		const stopped = front.stop();
		await sleep(LAME_DUCK_MS - 50);
		const answer = await exchange(port, parts, pauseMs);
		await stopped;
		await sleep(50);
		expect([statusesIn(answer), back.target.ranAttemptIds]).toEqual([[503], []]);
	});

	it('runs if its deadline comes first', async () => {
		mesh = new Mesh({graceMs: GRACE_MS});
		const {front, back, port} = await mesh.addPair({routes: ROUTES});
		const short = headOf('late', 'content-length: 6\r\n', 800);
		const stopped = sleep(50).then(async () => front.stop());
		const answer = await exchange(port, [short.slice(0, 30), `${short.slice(30)}abcdef`], LAME_DUCK_MS + 200);
		await stopped;
		expect([statusesIn(answer), back.target.ranAttemptIds]).toEqual([[200], ['late']]);
	});
});
