import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {Mesh, createRoute, createSiteSpec} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';
import {type Organisation, type SiteSpec} from '../../src/mesh/index.js';

const ORGANISATIONS: Organisation[] = [
	{name: 'acme', keys: ['key-a1', 'key-a2'], burst: 0},
	{
		name: 'bolt', keys: ['key-b'], burst: 0, rank: 0,
	},
];

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const withKey = (id: string, key?: string) => ({...createAttemptHeaders(id), ...(key === undefined ? {} : {authorization: `Bearer ${key}`})});

const statusOf = async (port: number, path: string, options: {headers: Record<string, string>}): Promise<number> => {
	const {status} = await call(port, path, options);
	return status;
};

const ROUTES = [createRoute('x', 'back'), createRoute('open', 'back', {isPublic: true}), createRoute('inner', 'front')];

function createSite(organisations: readonly Organisation[] = ORGANISATIONS, version = 2): SiteSpec {
	return {...createSiteSpec(ROUTES, version), organisations};
}

async function startPair() {
	mesh = new Mesh();
	const pair = await mesh.addPair({routes: ROUTES, back: {calls: {'/x/': [{path: '/inner/', times: 1}]}}});
	mesh.configure(createSite());
	await mesh.settle();
	return pair;
}

describe('a site with organisations', () => {
	it('tells the target whose request it is, whatever the client says, and never the key', async () => {
		const {back, port} = await startPair();
		const answer = await call(port, '/x/', {headers: {...withKey('r-1', 'key-a2'), [meshHeaders.organisation]: 'bolt'}});
		expect(answer.status).toBe(200);
		const {headers} = back.target.receivedRequests.at(-1)!;
		expect(headers[meshHeaders.organisation]).toBe('acme');
		expect(headers.authorization).toBeUndefined();
	});

	it('refuses a request without a known key with 401, runs nothing and logs no key', async () => {
		const {back, port} = await startPair();
		for (const [index, authorization] of [undefined, 'Bearer nobody', 'Bearer', 'Basic key-b', 'Bearer key-a1,key-b'].entries()) {
			const headers = {...withKey(`r-${index}`), ...(authorization === undefined ? {} : {authorization})};
			// eslint-disable-next-line no-await-in-loop -- one after the other
			expect(await statusOf(port, '/x/', {headers})).toBe(401);
		}

		expect(back.target.receivedRequests).toEqual([]);
		expect(mesh.logLines.filter(line => line.includes('event=unauthenticated')).length).toBeGreaterThan(0);
		expect(mesh.logLines.filter(line => /nobody|key-/v.test(line))).toEqual([]);
	});

	it('serves public routes without a key, and passes on no name of the client\'s own', async () => {
		const {back, port} = await startPair();
		const answer = await call(port, '/open/', {headers: {...withKey('r-1'), [meshHeaders.organisation]: 'bolt'}});
		expect(answer.status).toBe(200);
		expect(back.target.receivedRequests.at(-1)!.headers[meshHeaders.organisation]).toBeUndefined();
	});

	it('refuses a key that a newer configuration has withdrawn, on a connection that stays open, and knows a key that has moved', async () => {
		const {back, port} = await startPair();
		expect(await statusOf(port, '/x/', {headers: withKey('r-1', 'key-b')})).toBe(200);
		mesh.configure(createSite([{name: 'acme', keys: ['key-a1', 'key-b'], burst: 0}], 3));
		await mesh.settle();
		expect(await statusOf(port, '/x/', {headers: withKey('r-2', 'key-a2')})).toBe(401);
		expect(await statusOf(port, '/x/', {headers: withKey('r-3', 'key-b')})).toBe(200);
		expect(back.target.receivedRequests.at(-1)!.headers[meshHeaders.organisation]).toBe('acme');
	});

	it('takes a nested call without a key for the organisation of the run that makes it, and refuses one whose run isn\'t known as not run', async () => {
		const {front, back, port} = await startPair();
		expect(await statusOf(port, '/x/', {headers: withKey('r-1', 'key-b')})).toBe(200);
		expect(front.target.receivedRequests.at(-1)!.headers[meshHeaders.organisation]).toBe('bolt');
		const orphan = await call(back.settings.listen.requests.port, '/inner/', {headers: withKey('gone.1')});
		expect(orphan.status).toBe(503);
	});

	it('refuses a withdrawn key also at a daemon that starts again while the store is back from an older copy', async () => {
		const {front} = await startPair();
		const copy = mesh.store.copy();
		mesh.configure(createSite([ORGANISATIONS[0]], 3));
		await mesh.settle();
		await front.stop();
		mesh.store.restore(copy);
		const {listen, failureDomain} = front.settings;
		const ports = [listen.requests, listen.peers, listen.readiness, listen.announcements].map(({port}) => port);
		const restarted = await mesh.startDaemon('front', front.target, ports, failureDomain);
		const statuses: number[] = [];
		for (let round = 0; round < 20; round++) {
			// eslint-disable-next-line no-await-in-loop -- from its first moment on
			statuses.push(await statusOf(ports[0], '/x/', {headers: withKey(`again-${round}`, 'key-b')}));
			// eslint-disable-next-line no-await-in-loop -- spread over its first second
			await sleep(60);
		}

		await restarted.stop();
		expect(statuses.at(-1)).toBe(401);
		expect(statuses.filter(status => status !== 401 && status !== 503)).toEqual([]);
	});
});
