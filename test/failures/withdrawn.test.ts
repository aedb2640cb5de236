import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {type Organisation} from '../../src/mesh/index.js';
import {Directory} from '../../src/relay/store/directory.js';
import {Mesh, createRoute, createSiteSpec} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

/** Rounds of requests, from the first moment of a daemon on, for longer than it holds a configuration back. */
const ROUNDS = 30;
const PAUSE_MS = 50;
const BEFORE: Organisation[] = [{name: 'acme', keys: ['key-a'], burst: 100}, {name: 'bolt', keys: ['key-old', 'key-b'], burst: 0}];
const AFTER: Organisation[] = [
	{
		name: 'acme', keys: ['key-a'], ratePerS: 1, burst: 0,
	}, {name: 'bolt', keys: ['key-b'], burst: 0},
];
const ROUTES = [createRoute('x', 'back'), createRoute('dropped', 'back')];

type Uses = {readonly key: number; readonly limit: number; readonly route: number; readonly last: number};

let mesh: Mesh;
afterEach(async () => {
	vi.restoreAllMocks();
	mesh.store.fault = 'none';
	mesh.store.readMs = 0;
	await mesh.close();
});

/** Withdraws a key, lowers a limit and drops a route, then starts a daemon again beside a faulty store. @returns how often each was used */
async function restartAfterChange(beFaulty: (older: ReturnType<Mesh['store']['copy']>) => void): Promise<Uses> {
	mesh = new Mesh({isFirstStart: false, quotaRoom: {windowMs: 5000, over: 0, slack: 1}});
	const {front, port} = await mesh.addPair({routes: ROUTES, back: {slots: 50}});
	mesh.configure({...createSiteSpec(ROUTES, 2), organisations: BEFORE});
	await mesh.settle();
	const older = mesh.store.copy();
	mesh.configure({...createSiteSpec(ROUTES.slice(0, 1), 3), organisations: AFTER});
	await mesh.settle();
	await front.stop();
	beFaulty(older);
	const {requests, peers, readiness, announcements} = front.settings.listen;
	mesh.hosts[0] = await mesh.startDaemon('front', front.target, [requests.port, peers.port, readiness.port, announcements.port]);
	let nextId = 0;
	const use = async (path: string, key: string) => {
		const {status} = await call(port, path, {headers: {...createAttemptHeaders(`a${nextId++}`), authorization: `Bearer ${key}`}});
		return status;
	};

	const uses = {key: 0, limit: 0, route: 0};
	for (let round = 0; round < ROUNDS; round++) {
		// eslint-disable-next-line no-await-in-loop -- from its first moment on
		const statuses = await Promise.all([use('/x/', 'key-old'), use('/x/', 'key-a'), use('/dropped/', 'key-b')]);
		for (const [index, name] of (['key', 'limit', 'route'] as const).entries()) {
			uses[name] += statuses[index] === 200 ? 1 : 0;
		}

		// eslint-disable-next-line no-await-in-loop -- as above
		await sleep(PAUSE_MS);
	}

	return {...uses, last: await use('/x/', 'key-b')};
}

const FAULTS: Record<string, Parameters<typeof restartAfterChange>[0]> = {
	slow() {
		mesh.store.readMs = 1000;
	},
	refusing() {
		mesh.store.fault = 'down';
		mesh.store.wakeWatches();
	},
	'back with an older copy'(older) {
		mesh.store.restore(older);
	},
};

describe('what a configuration has withdrawn, at a daemon that starts again', () => {
	it.each(Object.keys(FAULTS))('is not in use again while the store is %s', async name => {
		const {key, limit, route, last} = await restartAfterChange(FAULTS[name]);
		expect({key, route, last}).toEqual({key: 0, route: 0, last: 200});
		expect(limit).toBeLessThan(ROUNDS / 3);
	});

	it('is reported if daemons take no configuration from their peers', async () => {
		vi.spyOn(Directory.prototype, 'offerSite').mockReturnValue(undefined);
		const {key, limit, route} = await restartAfterChange(FAULTS['back with an older copy']);
		expect([key, limit, route].map(count => count > ROUNDS / 3)).toEqual([true, true, true]);
	});
});
