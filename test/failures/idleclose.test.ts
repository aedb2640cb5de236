import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';
import {holdUp} from '../../standins/holdup.js';
import {Mesh, createRoute, createSiteSpec} from '../../standins/mesh.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

const IDLE_TIMEOUT_MS = 1000;

const closers: Array<() => Promise<void>> = [];
afterEach(async () => {
	vi.restoreAllMocks();
	await Promise.all(closers.splice(0).map(async close => close()));
});

/** Sends a request, waits until its connection is almost idle for too long, and sends another before the daemon is held up. @returns the statuses */
async function sendBeforePause(client: PipelinedClient, request: string): Promise<number[]> {
	client.send(request);
	await expect.poll(() => client.statuses, {timeout: 5000, interval: 5}).toEqual([200]);
	await sleep(IDLE_TIMEOUT_MS - 100);
	// Timers are what runs next then.
	await nextTurn();
	client.send(request);
	holdUp(3 * IDLE_TIMEOUT_MS);
	await expect.poll(() => client.isClosed, {timeout: 5000}).toBe(true);
	return client.statuses;
}

// Guards against a connection that is reset as idle although its next request has arrived (LOST).
describe('a request that arrives before its connection was idle for too long', () => {
	it('is answered though its daemon was held up, on the platform\'s path', async () => {
		const mesh = new Mesh();
		closers.push(async () => mesh.close());
		const {port} = await mesh.addPair();
		const spec = createSiteSpec([createRoute('x', 'back')], 2);
		mesh.configure({...spec, limits: {...spec.limits, idleTimeoutMs: IDLE_TIMEOUT_MS}});
		await mesh.settle();
		expect(await sendBeforePause(new PipelinedClient(port), buildHead('GET', '/x/', 'a'))).toEqual([200, 200]);
	});

	it('is answered though its daemon was held up, on the product\'s own path', async () => {
		const pair = new DaemonPair({
			limits: {
				bodyBytes: 100_000, requests: 100, ledgerKeys: 100, idleTimeoutMs: IDLE_TIMEOUT_MS,
			},
		});
		closers.push(async () => pair.close());
		await pair.start();
		const client = new PipelinedClient(pair.port, new URL(pair.front).hostname);
		// Its time has passed meanwhile.
		expect(await sendBeforePause(client, 'GET /back/look HTTP/1.1\r\nhost: x\r\n\r\n')).toEqual([200, 503]);
	});
});
