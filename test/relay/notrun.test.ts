import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {HOST_KIND} from '../../src/relay/store/ownentry.js';
import {Mesh, createRoute, createSiteSpec} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const UNSAFE = {repeatability: 'unsafe'} as const;
const send = async (port: number, id: string, deadlineMs: number) => call(port, '/x/', {method: 'POST', headers: createAttemptHeaders(id, deadlineMs)});

describe('an unsafe request whose deadline passes before a target has got it', () => {
	it('is refused as not run while it waits in the queue of its own daemon', async () => {
		mesh = new Mesh();
		mesh.configure(createSiteSpec([createRoute('x', 'front', UNSAFE)]));
		const {settings, target} = await mesh.addHost('front', {
			id: 'i-front', service: 'front', slots: 1, workMs: 600,
		});
		await mesh.settle();
		const {port} = settings.listen.requests;
		const first = send(port, 'first', 1500);
		const waiting = await Promise.all(Array.from({length: 6}, async (_, index) => send(port, `w${index}`, 100 + (index * 15))));
		expect(waiting.map(({status}) => status)).toEqual(waiting.map(() => 503));
		const {status} = await first;
		expect(status).toBe(200);
		expect(target.ranAttemptIds).toEqual(['first']);
		const metrics = await fetch(`http://127.0.0.1:${settings.listen.metrics!.port}/metrics`);
		const text = await metrics.text();
		// There may be several reasons, as the first daemon or the owner may notice first.
		const longestS = [...text.matchAll(/refused_after_seconds\{reason="\w+",quantile="1"\} (?<seconds>[\d.]+)/gv)].map(({groups}) => Number(groups!.seconds));
		expect(Math.max(...longestS)).toBeGreaterThan(0.1);
	});

	it('is refused as not run while it waits in the queue of another daemon, whose target usually is so quick that a wait seems worth it to the last', async () => {
		mesh = new Mesh();
		const {port, back} = await mesh.addPair({routes: [createRoute('x', 'back', UNSAFE)], back: {slots: 1, workMs: 1}});
		for (let index = 0; index < 20; index++) {
			// eslint-disable-next-line no-await-in-loop -- one at a time, so that none waits
			await send(port, `quick${index}`, 1500);
		}

		const {ranAttemptIds} = back.target;
		back.target.behaviourOverride = (_request, response) => {
			setTimeout(() => {
				response.end();
			}, 800);
		};

		const first = send(port, 'first', 1500);
		await sleep(30);
		const before = ranAttemptIds.length;
		const waiting = await Promise.all(Array.from({length: 12}, async (_, index) => send(port, `w${index}`, 200 + (index * 15))));
		expect(waiting.map(({status}) => status)).toEqual(waiting.map(() => 503));
		await first;
		await sleep(100);
		expect(back.target.receivedRequests.filter(({headers}) => String(headers[meshHeaders.attemptId]).startsWith('w'))).toEqual([]);
		expect(ranAttemptIds.length).toBe(before);
	});

	it('fails as one that may have run while it runs at another host, and isn\'t held for long', async () => {
		mesh = new Mesh();
		const {port, back} = await mesh.addPair({routes: [createRoute('x', 'back', {...UNSAFE, timeoutMs: 200})], back: {slots: 1, workMs: 1000}});
		const startMs = Date.now();
		const {status} = await send(port, 'running', 1500);
		expect([status, Date.now() - startMs < 700]).toEqual([504, true]);
		expect(back.target.receivedRequests.length).toBe(1);
	});

	it('is refused as not run while the link to its host has not opened', async () => {
		const silent = createServer();
		await new Promise<void>(resolve => {
			silent.listen(0, '127.0.0.1', resolve);
		});
		try {
			mesh = new Mesh();
			const {front} = await mesh.addPair({routes: [createRoute('x', 'gone', UNSAFE)]});
			const {port} = silent.address() as {port: number};
			mesh.store.set(HOST_KIND, 'silent', {
				host: 'silent', failureDomain: 'a', address: `127.0.0.1:${port}`, target: {
					id: 'i-gone', service: 'gone', slots: 4, state: 'ready',
				},
			});
			await mesh.settle();
			const answer = await send(front.settings.listen.requests.port, 'unsent', 120);
			expect([answer.status, Number(answer.headers['retry-after']) >= 0]).toEqual([503, true]);
		} finally {
			silent.close();
		}
	});
});
