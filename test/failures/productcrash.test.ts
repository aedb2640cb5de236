import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';

const DEADLY_PATH = '/back/look?deadly';
const SENDS = 25;
const SEND_INTERVAL_MS = 120;
/** How long after the third crash the daemons may still send a request that crashes targets; after that, in three retries. */
const CONTACT_MS = 1000;
const MAX_RETRIES = 3;
const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

let pair: DaemonPair;
beforeEach(async () => {
	pair = new DaemonPair();
	await pair.start();
});
afterEach(async () => {
	await pair.close();
});

describe('a request that crashes its target, on the product\'s own path', () => {
	it('crashed it each time, as nobody remembered it', async () => {
		const crashesMs: number[] = [];
		const sockets = new Set<Socket>();
		pair.onRequest = (socket, text) => {
			sockets.add(socket);
			if (!text.includes('deadly')) {
				socket.write(ANSWER);
				return;
			}

			crashesMs.push(Date.now());
			for (const one of sockets) {
				one.resetAndDestroy();
			}

			sockets.clear();
		};

		for (let index = 0; index < SENDS; index++) {
			void pair.call(DEADLY_PATH);
			// eslint-disable-next-line no-await-in-loop -- one after the other, like a client that comes again
			await sleep(SEND_INTERVAL_MS);
		}

		expect(crashesMs.length).toBeGreaterThanOrEqual(3);
		expect(crashesMs.filter(atMs => atMs > crashesMs[2] + CONTACT_MS).length).toBeLessThanOrEqual(MAX_RETRIES);
	});
});
