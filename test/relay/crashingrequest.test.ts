import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {
	Mesh, type MeshHost, createRoute, createSiteSpec,
} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {type MeshTarget, call} from '../../standins/meshtarget.js';

const COPIES = 3;
const SENDING_MS = 6000;
const SEND_INTERVAL_MS = 120;
/** How long after the third crash the daemons may still send a request that crashes targets; after that, in three retries. */
const CONTACT_MS = 1500;
const MAX_RETRIES = 3;

let mesh: Mesh;
let nextId = 0;
afterEach(async () => {
	await mesh.close();
});

/** Starts two hosts for clients, and copies of the service that the route `x` leads to. */
async function createSite(routes = [createRoute('x', 'back')]): Promise<{clients: MeshHost[]; copies: MeshTarget[]}> {
	mesh = new Mesh({quarantineMs: 30_000});
	mesh.configure(createSiteSpec(routes));
	const options = {slots: 20, workMs: 30};
	const clients = [];
	const copies = [];
	for (const name of ['client-1', 'client-2']) {
		// eslint-disable-next-line no-await-in-loop -- the hosts learn of each other in order
		clients.push(await mesh.addHost(name, {
			id: `i-${name}`, service: 'front', calls: {'/f/': [{path: '/x/deadly', times: 1}]}, ...options,
		}));
	}

	for (let index = 0; index < COPIES; index++) {
		// eslint-disable-next-line no-await-in-loop
		const {target} = await mesh.addHost(`copy-${index}`, {id: `i-copy-${index}`, service: 'back', ...options});
		target.crashesOn = ({url}) => url === '/x/deadly';
		copies.push(target);
	}

	await mesh.settle();
	return {clients, copies};
}

/** Sends the path through the clients in turn, beside sound requests. @returns the statuses of both */
async function sendFor(durationMs: number, path: string, clients: readonly MeshHost[]): Promise<{deadly: number[]; sound: number[]}> {
	const sent = {deadly: [] as Array<Promise<number>>, sound: [] as Array<Promise<number>>};
	const send = async (to: MeshHost, target: string) => {
		const {status} = await call(to.settings.listen.requests.port, target, {headers: createAttemptHeaders(`a${nextId++}`)});
		return status;
	};

	const endMs = Date.now() + durationMs;
	for (let index = 0; Date.now() < endMs; index++) {
		const to = clients[index % clients.length];
		sent.deadly.push(send(to, path));
		sent.sound.push(send(to, `/x/${index}`), send(to, `/x/${index}-2`));
		// eslint-disable-next-line no-await-in-loop -- one after the other, like a client that comes again
		await sleep(SEND_INTERVAL_MS);
	}

	return {deadly: await Promise.all(sent.deadly), sound: await Promise.all(sent.sound)};
}

/** When the copies began to run the request, in ms since 1970. */
function listRuns(copies: readonly MeshTarget[]): number[] {
	return copies.flatMap(({receivedRequests, receivedTimesMs}) => receivedTimesMs.filter((_, index) => receivedRequests[index].url === '/x/deadly')).toSorted((a, b) => a - b);
}

function countLateRuns(copies: readonly MeshTarget[]): number {
	const runs = listRuns(copies);
	return runs.filter(atMs => atMs > runs[2] + CONTACT_MS).length;
}

describe('a request that crashes each target that runs it', () => {
	it('crashed target after target, as nobody remembered it', async () => {
		const {clients, copies} = await createSite();
		const {deadly, sound} = await sendFor(SENDING_MS, '/x/deadly', clients);
		expect(countLateRuns(copies)).toBeLessThanOrEqual(MAX_RETRIES);
		expect(deadly).not.toContain(200);
		// The last half of the time: all copies are back, and nothing crashes them.
		expect(sound.slice(-sound.length / 2).filter(status => status !== 200)).toEqual([]);
	});

	it('crashed target after target, as a call that runs make', async () => {
		const {clients, copies} = await createSite([createRoute('x', 'back'), createRoute('f', 'front')]);
		const {sound} = await sendFor(SENDING_MS, '/f/1', clients);
		expect(countLateRuns(copies)).toBeLessThanOrEqual(MAX_RETRIES);
		expect(sound.slice(-sound.length / 2).filter(status => status !== 200)).toEqual([]);
	});
});
