import {setTimeout as sleep} from 'node:timers/promises';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';
import {PipelinedClient} from '../../standins/pipelinedclient.js';

const MAX_REQUESTS = 4;
const WORK_MS = 300;

let pair: DaemonPair;
beforeEach(async () => {
	pair = new DaemonPair({
		limits: {
			bodyBytes: 1_048_576, requests: MAX_REQUESTS, ledgerKeys: 1000, idleTimeoutMs: 65_000,
		},
	});
	await pair.start();
});
describe('a client that leaves with several of its pipelined requests unanswered, on the product\'s own path', () => {
	// Guards against a daemon that counts these requests as open for ever, and refuses all others in the end.
	it('takes no place of others', async () => {
		pair.onRequest = socket => {
			setTimeout(() => {
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
			}, WORK_MS);
		};

		for (let index = 0; index < 2; index++) {
			const client = new PipelinedClient(pair.port, new URL(pair.front).hostname);
			client.send('GET /back/look HTTP/1.1\r\nhost: x\r\n\r\n'.repeat(MAX_REQUESTS));
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await sleep(WORK_MS / 2);
			client.close();
			// eslint-disable-next-line no-await-in-loop -- the same
			await sleep(3 * WORK_MS);
		}

		const statuses = await Promise.all(Array.from({length: MAX_REQUESTS}, async () => pair.call('/back/look')));
		expect(statuses).toEqual(statuses.map(() => 200));
		const startMs = Date.now();
		await pair.close();
		// It waits for open requests up to 10 s.
		expect(Date.now() - startMs).toBeLessThan(5000);
	});
});
