import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {Random} from '../../fakes/random.js';
import {DaemonPair} from '../../standins/daemonpair.js';

const DEADLY_PATH = '/back/look?deadly';
const SENDS = 25;
const SEND_INTERVAL_MS = 120;
/** How long after the third crash the daemons may still send a request that crashes targets; after that, in three retries. */
const CONTACT_MS = 1000;
const MAX_RETRIES = 3;
const INNOCENT_SENDS = 300;
const INNOCENT_PATHS = 6;
/** The share of requests whose connection the target closes. */
const CLOSED_SHARE = 0.3;
const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

let pair: DaemonPair;
beforeEach(async () => {
	pair = new DaemonPair({quarantineMs: 30_000});
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
		const [held, other] = [await pair.call(DEADLY_PATH), await pair.call('/back/look')];
		expect([held, other]).toEqual([503, 200]);
	});

	// Guards against refusals of innocent requests because their target closes connections now and then.
	it('is none that a target answers mostly, but at times closes the connection of', async () => {
		const random = new Random(7);
		pair.onRequest = socket => {
			if (random.chance(CLOSED_SHARE)) {
				socket.destroy();
			} else {
				socket.write(ANSWER);
			}
		};

		const statuses: number[] = [];
		for (let index = 0; index < INNOCENT_SENDS; index++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			statuses.push(await pair.call(`/back/look?${index % INNOCENT_PATHS}`));
		}

		expect(statuses.filter(status => status === 503)).toEqual([]);
		expect(statuses.filter(status => status === 200).length).toBeGreaterThan(INNOCENT_SENDS / 2);
	});
});
