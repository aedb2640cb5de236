import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {request} from 'undici';
import {DaemonPair} from '../../standins/daemonpair.js';
import {PipelinedClient} from '../../standins/pipelinedclient.js';
import {holdUp} from '../../standins/holdup.js';

/** Longer than a request's time, and shorter than a link or a target may be silent. */
const PAUSE_MS = 1200;
const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

let pair: DaemonPair;
beforeEach(async () => {
	pair = new DaemonPair();
	await pair.start();
});
afterEach(async () => {
	await pair.close();
});

// Guards against a daemon that takes its own pause for the lateness of others, and doesn't count it for what waited meanwhile (LOST).
describe('a daemon of the product\'s own path that was held up', () => {
	it('delivers an answer that its target gave in time', async () => {
		pair.onRequest = socket => {
			socket.write(ANSWER);
			holdUp(PAUSE_MS);
		};

		const {statusCode, body} = await request(`${pair.back}/back/submit`, {method: 'POST', body: 'x'});
		await body.dump();
		expect(statusCode).toBe(200);
	});

	it('delivers it also if it was held up after it had read its sockets, before it judged what is late', async () => {
		const {setImmediate: schedule} = globalThis;
		let holdUps = 0;
		pair.onRequest = socket => {
			let isArmed = true;
			vi.spyOn(globalThis, 'setImmediate').mockImplementation((callback: () => void) => schedule(() => {
				if (isArmed) {
					isArmed = false;
					holdUps++;
					socket.write(ANSWER);
					holdUp(PAUSE_MS);
				}

				callback();
			}));
		};

		// Only a tick of the daemon beside the target shows it, and there are two daemons in this process.
		for (let index = 0; index < 8; index++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			const {statusCode, body} = await request(`${pair.back}/back/submit`, {method: 'POST', body: 'x'});
			// eslint-disable-next-line no-await-in-loop -- the same
			await body.dump();
			vi.restoreAllMocks();
			expect(statusCode).toBe(200);
		}

		expect(holdUps).toBe(8);
	}, 30_000);

	it('doesn\'t run a request whose time has passed meanwhile', async () => {
		let runs = 0;
		pair.onRequest = socket => {
			runs++;
			socket.write(ANSWER);
		};

		const client = new PipelinedClient(pair.port, new URL(pair.front).hostname);
		await sleep(100);
		client.send('POST /back/submit HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\nx');
		holdUp(PAUSE_MS);
		await expect.poll(() => client.statuses.length, {timeout: 5000}).toBe(1);
		client.close();
		expect([client.statuses, runs]).toEqual([[503], 0]);
	});
});
