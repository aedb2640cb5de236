import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {holdUp} from '../../standins/holdup.js';
import {
	Mesh, createRoute, createSiteSpec,
} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

const LAME_DUCK_MS = 300;
/** More than is collected before the head of an answer is passed on. */
const STREAMED_BYTES = 100_000;
const MAX_BODY_BYTES = 1000;

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const get = (path: string, id: string, more = '') => buildHead('GET', `/x/${path}`, id, {more});

/** Sends a request that the daemon serves to its end, so that a stop lasts until then. */
function occupy(port: number): PipelinedClient {
	const connection = new PipelinedClient(port);
	connection.send(get('1200', 'long'));
	return connection;
}

type Pair = {
	readonly port: number;
	/** Stops the daemon to which the clients connect. */
	readonly stop: () => Promise<void>;
	/** The attempts that the target has begun. */
	readonly ran: readonly string[];
};

/** Adds two daemons and a target that works for as many ms as the path says, or streams its answer. */
async function addPair(): Promise<Pair> {
	mesh = new Mesh();
	const routes = [createRoute('x', 'back')];
	const {front, back: {target}, port} = await mesh.addPair({routes, back: {slots: 20}});
	const spec = createSiteSpec(routes, 2);
	mesh.configure({...spec, limits: {...spec.limits, bodyBytes: MAX_BODY_BYTES}});
	const ran: string[] = [];
	target.behaviourOverride = (request, response) => {
		const id = String(request.headers[meshHeaders.attemptId]);
		ran.push(id);
		const work = request.url!.split('/')[2];
		if (work === 'stream') {
			response.writeHead(200, {[meshHeaders.attemptId]: id, [meshHeaders.signature]: 's', 'content-length': STREAMED_BYTES + 1});
			response.write(Buffer.alloc(STREAMED_BYTES, 'x'));
			setTimeout(() => {
				response.end('y');
			}, 2 * LAME_DUCK_MS);
		} else {
			setTimeout(() => {
				target.answer(response, id);
			}, Number(work));
		}
	};

	return {stop: async () => front.stop(), port, ran};
}

/** Sends a further request as a client does that respects what the answers say. @returns whether it got its answer, or none was owed */
async function sendsOneMore(connection: PipelinedClient): Promise<boolean> {
	const {length} = connection.statuses;
	if (connection.isClosed || connection.saysClose) {
		return true;
	}

	connection.send(get('5', 'further'));
	await expect.poll(() => connection.statuses.length > length || connection.isClosed, {timeout: 5000}).toBe(true);
	return connection.statuses.length > length;
}

describe('the last answer of a connection that a stopping daemon keeps open', () => {
	// Guards against a request that is read behind answers none of which closes the connection, and is never answered (LOST).
	it('closes it, or what follows is answered: pipelined answers made in reverse order', async () => {
		const {stop, port} = await addPair();
		const kept = new PipelinedClient(port);
		kept.send(get('5', 'warm'));
		await expect.poll(() => kept.statuses, {timeout: 5000}).toEqual([200]);
		const long = occupy(port);
		const stopped = stop();
		kept.send(get('600', 'slow') + get('50', 'fast'));
		await expect.poll(() => kept.statuses, {timeout: 5000}).toEqual([200, 200, 200]);
		await sleep(20);
		expect(await sendsOneMore(kept)).toBe(true);
		await stopped;
		await expect.poll(() => long.statuses).toEqual([200]);
	});

	it('closes it, or what follows is answered: the answer had begun before the stop', async () => {
		const {stop, port} = await addPair();
		const kept = new PipelinedClient(port);
		kept.send(get('stream', 'begun'));
		await expect.poll(() => kept.statuses, {timeout: 5000}).toEqual([200]);
		const long = occupy(port);
		const stopped = stop();
		await expect.poll(() => kept.text.endsWith('y'), {timeout: 5000}).toBe(true);
		expect(await sendsOneMore(kept)).toBe(true);
		await stopped;
		await expect.poll(() => long.statuses).toEqual([200]);
	});
});

describe('a request that reaches a stopping daemon while it is held up', () => {
	// Guards against a connection that is closed as unused before what waits in it is read (LOST).
	it('is answered', async () => {
		const {stop, port} = await addPair();
		const long = occupy(port);
		const stopped = stop();
		await sleep(LAME_DUCK_MS - 50);
		const late = new PipelinedClient(port);
		await sleep(150);
		late.send(get('5', 'late'));
		holdUp(400);
		await expect.poll(() => late.isClosed, {timeout: 5000}).toBe(true);
		expect(late.statuses).toEqual([200]);
		await stopped;
		await expect.poll(() => long.statuses).toEqual([200]);
	});
});

describe('a request behind an answer that closes the connection', () => {
	// Guards against requests that run though their connection closes before their answer.
	it('is not run: the body before it was too large', async () => {
		const first = `${get('5', 'first', `content-length: ${2 * MAX_BODY_BYTES}\r\n`)}${'x'.repeat(2 * MAX_BODY_BYTES)}`;
		const {port, ran} = await addPair();
		const connection = new PipelinedClient(port);
		connection.send(first + get('5', 'behind'));
		await expect.poll(() => connection.isClosed, {timeout: 5000}).toBe(true);
		await sleep(50);
		expect(connection.statuses).toEqual([413]);
		expect(ran).not.toContain('behind');
	});
});
