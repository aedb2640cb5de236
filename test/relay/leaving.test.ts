import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {
	Mesh, type MeshHost, createRoute, createSiteSpec,
} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

const DRAIN_MS = 1000;
/** More requests at once than one copy has slots, so that both get some. */
const BATCH = 60;
const LEAVING = {[meshHeaders.leaving]: '1'};

let mesh: Mesh;
let nextId = 0;
afterEach(async () => {
	await mesh.close();
});

/** Starts a host for clients, and two copies of the service that the route `x` leads to. */
async function createSite(): Promise<{client: MeshHost; leaving: MeshHost}> {
	mesh = new Mesh({drainMs: DRAIN_MS});
	mesh.configure(createSiteSpec([createRoute('x', 'back')]));
	const options = {slots: 20, workMs: 50};
	const client = await mesh.addHost('client', {id: 'i-1', service: 'front', ...options});
	const leaving = await mesh.addHost('leaving', {id: 'i-leaving', service: 'back', ...options});
	await mesh.addHost('other', {id: 'i-other', service: 'back', ...options});
	await mesh.settle();
	return {client, leaving};
}

async function sendAll(count: number, {settings}: MeshHost): Promise<number[]> {
	const answers = Array.from({length: count}, async () => call(settings.listen.requests.port, '/x/', {headers: createAttemptHeaders(`a${nextId++}`)}));
	const received = await Promise.all(answers);
	return received.map(({status}) => status);
}

/** Stops the daemon beside the target, and starts another one on the same ports. */
async function restartDaemon({name, target, settings: {listen, failureDomain}, stop}: MeshHost): Promise<MeshHost> {
	await stop();
	const ports = [listen.requests, listen.peers, listen.readiness, listen.announcements].map(({port}) => port);
	return mesh.startDaemon(name, target, ports, failureDomain);
}

describe('a target that says in its answers that it leaves, and announces itself as ready', () => {
	it('gets no request after the drain time, while its copy serves them', async () => {
		const {client, leaving} = await createSite();
		leaving.target.extraHeaders = LEAVING;
		await sendAll(BATCH, client);
		await sleep(DRAIN_MS);
		const before = leaving.target.receivedRequests.length;
		expect(before).toBeGreaterThan(0);
		expect(await sendAll(BATCH, client)).toEqual(Array.from({length: BATCH}, () => 200));
		expect(leaving.target.receivedRequests.length - before).toBe(0);
	});

	it('gets no request from a host that has passed that on, although its own daemon has restarted since', async () => {
		const {client, leaving} = await createSite();
		leaving.target.extraHeaders = LEAVING;
		await sendAll(BATCH, client);
		const restarted = await restartDaemon(leaving);
		await sleep(DRAIN_MS);
		const before = leaving.target.receivedRequests.length;
		const statuses = await sendAll(BATCH, client);
		await restarted.stop();
		expect(leaving.target.receivedRequests.length - before).toBe(0);
		expect(statuses).toEqual(Array.from({length: BATCH}, () => 200));
	});

	it('is used again once it has started anew under the same id', async () => {
		const {client, leaving} = await createSite();
		leaving.target.extraHeaders = LEAVING;
		await sendAll(BATCH, client);
		await sleep(DRAIN_MS);
		leaving.target.extraHeaders = {};
		await leaving.target.announce(leaving.settings.listen.announcements.port, 'ready', 2);
		await mesh.settle();
		const before = leaving.target.receivedRequests.length;
		await sendAll(BATCH, client);
		expect(leaving.target.receivedRequests.length - before).toBeGreaterThan(0);
	});
});
