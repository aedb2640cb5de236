import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

const WORK_MS = 60;

let mesh: Mesh;

/**
 * Sends a request that the target answers 200, and then one that it answers with `second`, after surplus bytes of the first answer.
 * @returns the answer to the second, and how often it has run
 */
async function sendTwo(surplus: string, second: {readonly status: number; readonly isNamed?: boolean; readonly isSigned?: boolean}): Promise<{status: number; signature: unknown; runs: number}> {
	mesh = new Mesh();
	const {back: {target}, port} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability: 'unsafe', attempts: 1})]});
	const ran: string[] = [];
	target.behaviourOverride = ({headers, socket}) => {
		const id = String(headers[meshHeaders.attemptId]);
		ran.push(id);
		if (id === 'first') {
			socket.write(`HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.signature}: s/${id}\r\ncontent-length: 2\r\n\r\nok`);
			return;
		}

		socket.write(surplus);
		setTimeout(() => {
			const name = second.isNamed === false ? '' : `${meshHeaders.attemptId}: ${id}\r\n`;
			const signature = second.isSigned === false ? '' : `${meshHeaders.signature}: s/${id}\r\n`;
			socket.write(`HTTP/1.1 ${second.status} Any\r\n${name}${signature}content-length: 0\r\n\r\n`);
		}, WORK_MS);
	};

	const post = async (id: string) => call(port, '/x/', {method: 'POST', headers: createAttemptHeaders(id)});
	await expect(post('first')).resolves.toMatchObject({status: 200});
	const {status, headers} = await post('second');
	await sleep(2 * WORK_MS);
	return {status, signature: headers[meshHeaders.signature], runs: ran.filter(id => id === 'second').length};
}

describe('surplus bytes of a target while the next request is at work on their connection', () => {
	afterEach(async () => {
		await mesh.close();
	});

	// Guards against "not run" for a request that the target runs (REFUSED).
	it.each([408, 421, 429, 503])('are no refusal of that request: %i', async surplusStatus => {
		expect(await sendTwo(`HTTP/1.1 ${surplusStatus} Any\r\ncontent-length: 0\r\n\r\n`, {status: 200})).toEqual({status: 502, signature: undefined, runs: 1});
	});

	// Guards against an answer that belongs to another request (MIXED).
	it.each([404, 500])('are no answer to that request: %i', async surplusStatus => {
		expect(await sendTwo(`HTTP/1.1 ${surplusStatus} Any\r\ncontent-length: 0\r\n\r\n`, {status: 200})).toEqual({status: 502, signature: undefined, runs: 1});
	});

	// Guards against a success in the place of a failure (MIXED): the parser takes the rest of the line for a reason phrase or a header's value.
	it.each(['HTTP/1.1 200 ', 'HTTP/1.1 200 O', 'HTTP/1.1 201 Created', 'HTTP/1.1 200 OK\r\nserver: boo', 'HTTP/1.1 200 OK\r\nserver: '])('don\'t run together with its answer: %j', async surplus => {
		expect(await sendTwo(surplus, {status: 500})).toEqual({status: 502, signature: undefined, runs: 1});
	});
});

describe('an answer without a name', () => {
	afterEach(async () => {
		await mesh.close();
	});

	// Guards against a promise that no answer has made (REFUSED).
	it.each([408, 429, 503])('is no refusal unless the target says so: %i', async status => {
		expect(await sendTwo('', {status, isNamed: false, isSigned: false})).toEqual({status: 502, signature: undefined, runs: 1});
	});

	it('is passed on as it is if the target signed it and named its request', async () => {
		expect(await sendTwo('', {status: 503})).toEqual({status: 503, signature: 's/second', runs: 1});
	});
});

describe('the beginning of a surplus answer, on the product\'s own path', () => {
	let pair: DaemonPair;
	afterEach(async () => {
		await pair.close();
	});

	it.each(['HTTP/1.1 200 O', 'HTTP/1.1 200 OK\r\nserver: boo'])('doesn\'t run together with the next answer: %j', async surplus => {
		pair = new DaemonPair();
		await pair.start();
		let isFirst = true;
		pair.onRequest = socket => {
			if (isFirst) {
				isFirst = false;
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
			} else {
				socket.write(surplus);
				setTimeout(() => {
					socket.write('HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n');
				}, WORK_MS);
			}
		};

		expect(await pair.call('/back/submit', 'POST')).toBe(200);
		expect(await pair.call('/back/submit', 'POST')).not.toBe(200);
	});
});
