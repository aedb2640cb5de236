import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {HOST_KIND} from '../../src/relay/store/ownentry.js';
import {
	Mesh, type MeshHost, createRoute, createSiteSpec,
} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

/** How long after its acceptance a configuration must be in force, in ms. */
const CONFIG_MS = 2000;
/** How long after the store was restored the entries of the daemons must be there again, in ms. */
const ENTRIES_MS = 2000;

let mesh: Mesh;
let nextId = 0;
beforeEach(() => {
	mesh = new Mesh();
});
afterEach(async () => {
	await mesh.close();
});

const configure = (routes: readonly string[], version: number) => {
	mesh.configure(createSiteSpec(routes.map(name => createRoute(name, 'back')), version));
};

const addBack = async (name: string) => mesh.addHost(name, {
	id: `i-${name}`, service: 'back', slots: 10, workMs: 1,
});
const statusOf = async ({settings}: MeshHost, route: string) => {
	const {status} = await call(settings.listen.requests.port, `/${route}/`, {headers: createAttemptHeaders(`a${nextId++}`)});
	return status;
};

const statusesOf = async (route: string) => Promise.all(mesh.hosts.map(async host => statusOf(host, route)));
const storedHosts = () => mesh.store.list(HOST_KIND).objects.map(({name}) => name).toSorted();

describe('a store that is restored from an older copy', () => {
	it('brings no older configuration into force, and the next one counts although its revision was given out before', async () => {
		configure(['x'], 1);
		await Promise.all(['1', '2', '3'].map(async name => addBack(name)));
		await mesh.settle();
		const copy = mesh.store.copy();
		configure(['x', 'y'], 2);
		await vi.waitFor(async () => {
			expect(await statusesOf('y')).toEqual([200, 200, 200]);
		}, CONFIG_MS);
		mesh.store.restore(copy);
		await mesh.settle();
		expect(await statusesOf('y')).toEqual([200, 200, 200]);
		configure(['x', 'y', 'z'], 3);
		await vi.waitFor(async () => {
			expect(await statusesOf('z')).toEqual([200, 200, 200]);
		}, {timeout: CONFIG_MS, interval: 100});
	});

	it('hides no configuration that got a revision which a watch had passed before', async () => {
		configure(['x'], 1);
		await Promise.all(['1', '2', '3'].map(async name => addBack(name)));
		await mesh.settle();
		const copy = mesh.store.copy();
		configure(['x'], 2);
		await mesh.settle();
		mesh.store.restore(copy);
		configure(['x', 'y'], 3);
		for (let number = 0; number < 10; number++) {
			mesh.store.set('unrelated', String(number), number);
		}

		await vi.waitFor(async () => {
			expect(await statusesOf('y')).toEqual([200, 200, 200]);
		}, {timeout: CONFIG_MS, interval: 100});
	});

	it('holds the entries that it had lost again soon, and their hosts stay reachable all the while', async () => {
		const names = ['1', '2', '3', '4'];
		// A service of its own for each host, so that each call shows whether that host is reachable.
		mesh.configure(createSiteSpec(names.map(name => createRoute(`x${name}`, `back${name}`)), 1));
		const addOwnBack = async (name: string) => mesh.addHost(name, {
			id: `i-${name}`, service: `back${name}`, slots: 10, workMs: 1,
		});
		await addOwnBack('1');
		const copy = mesh.store.copy();
		await Promise.all(names.slice(1).map(async name => addOwnBack(name)));
		const statusesOfAll = async () => Promise.all(names.map(async name => statusesOf(`x${name}`)));
		const allReached = names.map(() => names.map(() => 200));
		await vi.waitFor(async () => {
			expect(await statusesOfAll()).toEqual(allReached);
		}, {timeout: ENTRIES_MS, interval: 50});
		mesh.store.restore(copy);
		const restoredMs = Date.now();
		while (Date.now() - restoredMs < ENTRIES_MS) {
			// eslint-disable-next-line no-await-in-loop -- the hosts are called over and over
			expect(await statusesOfAll()).toEqual(allReached);
		}

		expect(storedHosts()).toEqual(names);
		expect(await statusesOfAll()).toEqual(allReached);
		expect(mesh.logLines.filter(line => line.includes('event=host_gone'))).toEqual([]);
	});

	it('brings back no host that the daemons know to be gone', async () => {
		configure(['x'], 1);
		await Promise.all(['1', '2'].map(async name => addBack(name)));
		mesh.store.set(HOST_KIND, 'gone', {host: 'gone', failureDomain: 'a', address: '127.0.0.1:1'});
		await mesh.settle();
		const copy = mesh.store.copy();
		mesh.store.delete(HOST_KIND, 'gone');
		await mesh.settle();
		mesh.store.restore(copy);
		const lines = mesh.logLines.length;
		await mesh.settle();
		expect(mesh.logLines.slice(lines).filter(line => line.includes('event=host_learned host=gone'))).toEqual([]);
	});

	it('is no reason for peers to miss what a daemon publishes afterwards', async () => {
		configure(['x'], 1);
		const first = await addBack('1');
		const second = await addBack('2');
		const copy = mesh.store.copy();
		for (let number = 0; number < 20; number++) {
			mesh.store.set('unrelated', String(number), number);
		}

		await second.target.announce(second.settings.listen.announcements.port, 'ready', 2);
		await mesh.settle();
		mesh.store.restore(copy);
		await mesh.settle();
		const lines = mesh.logLines.length;
		await second.target.announce(second.settings.listen.announcements.port, 'draining', 3);
		await mesh.settle();
		expect(mesh.logLines.slice(lines).filter(line => line.includes(`daemon=${first.name}`) && /event=host_learned host=2 .*state=draining/v.test(line))).toHaveLength(1);
	});
});
