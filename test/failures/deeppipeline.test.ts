import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh} from '../../standins/mesh.js';
import {meshHeaders} from '../../standins/meshadapter.js';
import {PipelinedClient, buildHead} from '../../standins/pipelinedclient.js';

const SLOW = 'slow';
const IDS = [SLOW, ...Array.from({length: 300}, (_, index) => `q${index}`)];
/** The most requests of a connection that may have started without their answers being written. */
const MAX_STARTED = 32;
const LONG_MS = 20_000;
const QUICK_MS = 1500;

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

/** Sends a slow request and many quick ones behind it on one connection. @returns the attempts that the target has begun, and what has the slow one answered */
async function pipeline(deadlineMs: number): Promise<{client: PipelinedClient; begun: string[]; answerSlow: () => void}> {
	mesh = new Mesh();
	const begun: string[] = [];
	const {back: {target}, port} = await mesh.addPair({back: {slots: 2 * IDS.length}});
	let answerSlow: () => void = () => undefined;
	target.behaviourOverride = (request, response) => {
		const id = String(request.headers[meshHeaders.attemptId]);
		begun.push(id);
		if (id === SLOW) {
			answerSlow = () => {
				target.answer(response, id);
			};
		} else {
			target.answer(response, id);
		}
	};

	const client = new PipelinedClient(port);
	client.send(IDS.map(id => buildHead('GET', '/x/', id, {deadlineMs: id === SLOW ? LONG_MS : deadlineMs})).join(''));
	await expect.poll(() => begun.length, {timeout: 5000}).toBeGreaterThan(1);
	return {
		client,
		begun,
		answerSlow() {
			answerSlow();
		},
	};
}

describe('a client that pipelines many requests behind a slow one', () => {
	// Guards against a daemon whose memory fills with the answers that wait for the slow one.
	it('has only so many begun before the slow one is answered, and all answered in the end', async () => {
		const {client, begun, answerSlow} = await pipeline(LONG_MS);
		await sleep(500);
		expect(begun.length).toBeLessThanOrEqual(MAX_STARTED);
		answerSlow();
		await expect.poll(() => client.statuses.length, {timeout: 15_000}).toBe(IDS.length);
		expect(new Set(client.statuses)).toEqual(new Set([200]));
		expect(begun.toSorted()).toEqual(IDS.toSorted());
	});

	it('has those that wait refused at their deadline, unrun', async () => {
		const {client, begun, answerSlow} = await pipeline(QUICK_MS);
		await sleep(2 * QUICK_MS);
		answerSlow();
		await expect.poll(() => client.statuses.length, {timeout: 15_000}).toBe(IDS.length);
		expect(begun.length).toBeLessThanOrEqual(MAX_STARTED);
		const {statuses} = client;
		expect(IDS.filter((id, index) => !begun.includes(id) && statuses[index] !== 503)).toEqual([]);
	});
});
