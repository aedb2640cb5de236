import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {DirectoryMesh, type MeshMember} from '../../fakes/directorymesh.js';
import {MemoryStore, type StoreCopy} from '../../fakes/memorystore.js';
import {HOST_KIND} from '../../src/relay/store/ownentry.js';
import {createRoute, createSiteSpec} from '../../standins/mesh.js';

/** The time within which a configuration must be in force everywhere, in ms. */
const CONFIG_MS = 3000;
/** How long after the store's return the entries must be there again, in ms. */
const ENTRIES_MS = 2000;
const AWAY_MS = 400;
const REWRITE_AFTER_MS = 800;
const SIZE = 200;

let store: MemoryStore;
const configure = (version: number) => {
	store.set('site', 'main', createSiteSpec([createRoute('x', 's')], version));
};

const drill = async (copy: StoreCopy) => store.drill({copy, awayMs: AWAY_MS, rewriteAfterMs: REWRITE_AFTER_MS});

const startMesh = async () => {
	configure(1);
	const mesh = new DirectoryMesh(store, SIZE);
	await vi.advanceTimersByTimeAsync(12_000);
	return mesh;
};

/** Starts a mesh in which the store's copy lacks the second configuration and the entries of some daemons. */
const startMeshAheadOfCopy = async () => {
	const mesh = await startMesh();
	const copy = store.copy();
	configure(2);
	const late = [1, 2, 3].map(number => mesh.add(`late${number}`));
	await vi.advanceTimersByTimeAsync(4000);
	return {mesh, copy, late};
};

const storedHosts = () => new Set(store.list(HOST_KIND).objects.map(({name}) => name));
const namesMissingFrom = (names: ReadonlySet<string>, members: readonly MeshMember[]) => members.map(({name}) => name).filter(name => !names.has(name));
const instancesKnownOf = (name: string, members: readonly MeshMember[]) => [...new Set(members.filter(({isUp}) => isUp).map(({hosts}) => hosts.get(name)?.target?.id))];

beforeEach(() => {
	vi.useFakeTimers();
	store = new MemoryStore();
});
afterEach(() => {
	vi.useRealTimers();
});

describe('200 daemons whose store comes back from an older copy', () => {
	it('write lost entries again and keep the configuration when it comes back twice in a row', async () => {
		const {mesh, copy, late} = await startMeshAheadOfCopy();
		void drill(copy);
		await vi.advanceTimersByTimeAsync(AWAY_MS + 300);
		void drill(copy);
		await vi.advanceTimersByTimeAsync(AWAY_MS + ENTRIES_MS);
		expect(namesMissingFrom(storedHosts(), mesh.members)).toEqual([]);
		configure(3);
		await vi.advanceTimersByTimeAsync(CONFIG_MS);
		expect(mesh.countVersions()).toEqual({3: SIZE + late.length});
		expect(new Set(mesh.members.map(({directory}) => directory.storeEpoch))).toEqual(new Set([store.epoch]));
		expect(new Set(mesh.members.map(({hosts}) => hosts.digest)).size).toBe(1);
	});

	it('know and store the newest entry of a daemon whose write was under way, and whose answer was lost', async () => {
		const {mesh, copy} = await startMeshAheadOfCopy();
		const [changed] = mesh.members;
		const entry = {...changed.entry, target: {...changed.entry.target!, state: 'draining' as const}};
		store.fault = 'lost-answers';
		changed.directory.publish(entry);
		await vi.advanceTimersByTimeAsync(1);
		void drill(copy);
		await vi.advanceTimersByTimeAsync(AWAY_MS + ENTRIES_MS);
		expect(store.get(HOST_KIND, changed.name).value).toEqual(entry);
		expect(new Set(mesh.members.map(({hosts}) => hosts.get(changed.name)?.target?.state))).toEqual(new Set(['draining']));
	});

	it('agree after a cut that lasted over the return, and that kept half of them from the store', async () => {
		const {mesh, copy, late} = await startMeshAheadOfCopy();
		const cutOff = mesh.members.filter((_member, index) => index % 2 === 0);
		for (const member of cutOff) {
			member.side = 1;
		}

		mesh.setAccess(cutOff, 'silent');
		await vi.advanceTimersByTimeAsync(1000);
		void drill(copy);
		await vi.advanceTimersByTimeAsync(AWAY_MS + REWRITE_AFTER_MS + 1000);
		for (const member of cutOff) {
			member.side = 0;
		}

		mesh.setAccess(cutOff, 'open');
		await vi.advanceTimersByTimeAsync(6000);
		expect(namesMissingFrom(storedHosts(), mesh.members)).toEqual([]);
		expect(mesh.countVersions()).toEqual({2: SIZE + late.length});
		expect(new Set(mesh.members.map(({hosts}) => hosts.digest)).size).toBe(1);
		expect(mesh.members.filter(({versionsInForce}) => versionsInForce.some((version, index) => version < versionsInForce[index - 1]))).toEqual([]);
	});

	it('keep a daemon that can\'t reach the store, and that hears of its return from peers alone', async () => {
		const {mesh, copy, late: [cutOff]} = await startMeshAheadOfCopy();
		mesh.setAccess([cutOff], 'silent');
		void drill(copy);
		for (let passedMs = 0; passedMs < 10_000; passedMs += 500) {
			// eslint-disable-next-line no-await-in-loop -- looks at each moment of the drill and after it
			await vi.advanceTimersByTimeAsync(500);
			expect(instancesKnownOf(cutOff.name, mesh.members)).toEqual([`i-${cutOff.name}`]);
		}

		expect([cutOff.directory.storeEpoch, cutOff.siteVersion]).toEqual([store.epoch, 2]);
		mesh.setAccess([cutOff], 'open');
		await vi.advanceTimersByTimeAsync(ENTRIES_MS);
		expect(storedHosts().has(cutOff.name)).toBe(true);
	});

	it('learn the new entry of a daemon that gets the revision which its lost entry had', async () => {
		const mesh = await startMesh();
		const copy = store.copy();
		const killed = mesh.add('reborn');
		await vi.advanceTimersByTimeAsync(4000);
		const {revision} = store.get(HOST_KIND, killed.name);
		mesh.kill([killed]);
		void drill(copy);
		await vi.advanceTimersByTimeAsync(AWAY_MS + ENTRIES_MS);
		while (store.list(HOST_KIND).revision < revision - 1) {
			store.set('unrelated', 'x', store.list(HOST_KIND).revision);
		}

		mesh.restart(killed, {...killed.entry, target: {...killed.entry.target!, id: 'i-second'}});
		await vi.advanceTimersByTimeAsync(4000);
		expect([store.get(HOST_KIND, killed.name).revision, instancesKnownOf(killed.name, mesh.members)]).toEqual([revision, ['i-second']]);
	});

	it('bring the older configuration into force nowhere, not even where a daemon starts that asks the store first', async () => {
		const {mesh, copy, late: [killed]} = await startMeshAheadOfCopy();
		mesh.kill([killed]);
		void store.drill({copy, awayMs: AWAY_MS, rewriteAfterMs: 10_000});
		await vi.advanceTimersByTimeAsync(AWAY_MS + 100);
		const started = mesh.restart(killed);
		await vi.advanceTimersByTimeAsync(3000);
		expect([started.versionsInForce, mesh.countVersions()]).toEqual([[2], {2: mesh.members.length}]);
	});

	it('take the configuration of the copy if all of them were down, say that no peer has confirmed it, and take the newer one once it is written again', async () => {
		const {mesh, copy} = await startMeshAheadOfCopy();
		const killed = [...mesh.members];
		mesh.kill(killed);
		await vi.advanceTimersByTimeAsync(1000);
		void store.drill({copy, awayMs: AWAY_MS, rewriteAfterMs: 4000});
		await vi.advanceTimersByTimeAsync(AWAY_MS + 100);
		const members = killed.map(member => mesh.restart(member));
		await vi.advanceTimersByTimeAsync(3500);
		expect(mesh.countVersions()).toEqual({1: members.length});
		const [{logLines}] = members;
		expect(logLines.filter(line => line.includes('event=site_unconfirmed'))).toHaveLength(1);
		await vi.advanceTimersByTimeAsync(400 + CONFIG_MS);
		expect(mesh.countVersions()).toEqual({2: members.length});
		expect(namesMissingFrom(storedHosts(), members)).toEqual([]);
	});
});
