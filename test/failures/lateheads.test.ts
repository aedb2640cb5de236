import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {holdUp} from '../../standins/holdup.js';
import {
	Mesh, createRoute, createSiteSpec,
} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

const HEADER_TIMEOUT_MS = 400;
/** Longer than a head may take, and than the interval at which heads are checked. */
const HOLD_UP_MS = 1700;
const PROMISES = new Set([408, 421, 429, 503]);

const post = (id: string, path = '20') => buildHead('POST', `/x/${path}`, id, {more: 'content-length: 4\r\n', deadlineMs: 5000}) + 'book';

let mesh: Mesh;
let port: number;
/** The attempts that the target has begun. */
let ran: string[];

beforeEach(async () => {
	mesh = new Mesh();
	const routes = [createRoute('x', 'back', {repeatability: 'unsafe', attempts: 1, timeoutMs: 5000})];
	const pair = await mesh.addPair({routes, back: {slots: 20}});
	const spec = createSiteSpec(routes, 2);
	mesh.configure({...spec, limits: {...spec.limits, headerTimeoutMs: HEADER_TIMEOUT_MS}});
	await sleep(200);
	({port} = pair);
	ran = [];
	const {target} = pair.back;
	target.behaviourOverride = (request, response) => {
		const id = String(request.headers[meshHeaders.attemptId]);
		ran.push(id);
		setTimeout(() => {
			target.answer(response, id);
		}, Number(request.url!.split('/')[2]));
	};
});

afterEach(async () => {
	await mesh.close();
});

const connectClient = async () => {
	const client = new PipelinedClient(port);
	await sleep(50);
	return client;
};

/** Waits until the connection is closed, or what was sent on it is answered. */
async function settles(client: PipelinedClient, answers: number): Promise<void> {
	await expect.poll(() => client.isClosed || client.statuses.length >= answers, {timeout: 8000}).toBe(true);
	// What was read behind the last answer would have begun by then.
	await sleep(200);
}

describe('a head that is not complete in time', () => {
	// Guards against heads that occupy connections for up to half a minute longer than the operator allows.
	it('ends its connection with 408', async () => {
		const client = await connectClient();
		client.send(post('endless').slice(0, 40));
		await client.closed;
		expect(client.statuses).toEqual([408]);
	});

	// Guards against a request that runs though its client was told that it never will (REFUSED): the 408 of a silent connection crosses it.
	it.each([
		['on a silent connection', '', post('crossing')],
		['with another behind it', '', post('crossing') + post('behind')],
		['in two parts', post('crossing').slice(0, 40), post('crossing').slice(40)],
		['behind an answered one', post('early') + post('crossing').slice(0, 40), post('crossing').slice(40)],
	])('is not run when its rest crosses the 408: %s', async (_name, before, rest) => {
		const client = await connectClient();
		client.send(before);
		await sleep(200);
		const {statuses} = client;
		client.pause();
		await expect.poll(() => mesh.logLines.some(line => line.includes('event=client_error')), {timeout: 5000}).toBe(true);
		// After the turn in which the 408 is written.
		await sleep(50);
		client.send(rest);
		client.resume();
		await settles(client, statuses.length + 2);
		expect(ran).not.toContain('crossing');
		expect(ran).not.toContain('behind');
		expect(client.statuses).toEqual([...statuses, 408]);
	});

	// Guards against the loss of answers that are due (LOST): the connection was destroyed.
	it.each([
		['a head that never ends', post('endless').slice(0, 40), 408],
		['what is no request', 'nonsense\r\n\r\n', 400],
	])('lets the answers before it on its connection arrive: %s', async (_name, last, status) => {
		const client = await connectClient();
		client.send(post('first', '2500') + post('second', '500') + last);
		await client.closed;
		expect(client.statuses).toEqual([200, 200, status]);
		expect(ran.toSorted()).toEqual(['first', 'second']);
	});

	// Guards against upstreams that work on for a client that has left (GONE).
	it('cancels the requests before it if its client leaves in the middle of it', async () => {
		const client = await connectClient();
		client.send(post('first', '3000') + post('half').slice(0, 40));
		await expect.poll(() => ran, {timeout: 5000}).toEqual(['first']);
		client.end();
		await expect.poll(() => mesh.logLines.some(line => line.includes('event=client_gone attempt=first')), {timeout: 2000}).toBe(true);
	});

	// Guards against a client that trickles bytes to keep its connection.
	it('is ended, too, if bytes of it keep coming', async () => {
		const client = await connectClient();
		const head = buildHead('POST', '/x/20', 'trickled', {more: `x: ${'y'.repeat(400)}\r\n`});
		for (let sent = 0; sent < head.length && !client.isClosed; sent++) {
			client.send(head[sent]);
			// eslint-disable-next-line no-await-in-loop -- one byte after the other
			await sleep(20);
		}

		expect(client.statuses).toEqual([408]);
		expect(ran).toEqual([]);
	});
});

describe('a request that is sent in time to a daemon that is held up', () => {
	const begin = async (before: string): Promise<PipelinedClient> => {
		const client = await connectClient();
		if (before !== '') {
			client.send(before);
			await sleep(100);
		}

		return client;
	};

	// Guards against requests that are answered 408 and run (REFUSED): the check of heads came before the sockets were read.
	it.each([
		['on a silent connection', '', post('late'), ['late'], [200]],
		['in two parts', post('late').slice(0, 40), post('late').slice(40), ['late'], [200]],
		['with another behind it', '', post('late') + post('next'), ['late', 'next'], [200, 200]],
		['behind an answered one', `${post('early')}${post('late').slice(0, 40)}`, post('late').slice(40), ['early', 'late'], [200, 200]],
		['behind one at work', `${post('early', '2500')}${post('late').slice(0, 40)}`, post('late').slice(40), ['early', 'late'], [200, 200]],
	])('is answered and run: %s', async (...[, before, rest, attempts, statuses]) => {
		const client = await begin(before);
		client.send(rest);
		holdUp(HOLD_UP_MS);
		await settles(client, statuses.length);
		expect(client.statuses).toEqual(statuses);
		expect(ran.toSorted()).toEqual(attempts.toSorted());
	});

	// Guards against a promise that is broken later: the rest of the head comes when the 408 is written.
	it('is either answered 408 or run, if its rest comes later', async () => {
		const client = await begin(post('late').slice(0, 40));
		holdUp(HOLD_UP_MS);
		await sleep(5);
		client.send(post('late').slice(40));
		await settles(client, 1);
		expect(client.statuses.some(status => PROMISES.has(status))).toBe(ran.length === 0);
	});
});
