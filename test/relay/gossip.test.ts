import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {DirectoryMesh} from '../../fakes/directorymesh.js';
import {MemoryStore} from '../../fakes/memorystore.js';
import {FrameTag} from '../../src/relay/peers/frame.js';
import {HOST_KIND} from '../../src/relay/store/ownentry.js';
import {createRoute, createSiteSpec} from '../../standins/mesh.js';

/** The time within which a configuration must be in force everywhere, in ms. */
const CONFIG_MS = 3000;
const SIZE = 200;

let store: MemoryStore;
const configure = (version: number) => {
	store.set('site', 'main', createSiteSpec([createRoute('x', 's')], version));
};

const startMesh = async (size = SIZE) => {
	configure(1);
	const mesh = new DirectoryMesh(store, size);
	await vi.advanceTimersByTimeAsync(12_000);
	return mesh;
};

beforeEach(() => {
	vi.useFakeTimers();
	store = new MemoryStore();
});
afterEach(() => {
	vi.useRealTimers();
});

describe('200 daemons of which a few watch the store', () => {
	it('all know the configuration and each other after they started at once', async () => {
		const mesh = await startMesh();
		expect([mesh.countVersions(), new Set(mesh.members.map(({hosts}) => hosts.size)), new Set(mesh.members.map(({hosts}) => hosts.digest)).size]).toEqual([{1: SIZE}, new Set([SIZE]), 1]);
		expect(mesh.watchers).toHaveLength(5);
	});

	it('have a new configuration in force within a fraction of a second, for a call by each watcher', async () => {
		const mesh = await startMesh();
		const before = mesh.calls.fresh;
		configure(2);
		await vi.advanceTimersByTimeAsync(300);
		expect(mesh.countVersions()).toEqual({2: SIZE});
		expect(mesh.calls.fresh - before).toBeLessThanOrEqual(10);
	});

	it('make as many calls in a quiet minute as 30 daemons', async () => {
		const callsOf = async (size: number) => {
			store = new MemoryStore();
			const mesh = await startMesh(size);
			const before = mesh.calls.fresh;
			await vi.advanceTimersByTimeAsync(60_000);
			return mesh.calls.fresh - before;
		};

		const [few, many] = [await callsOf(30), await callsOf(SIZE)];
		expect(many).toBeLessThan(few * 1.5);
	});

	it.each([
		['are killed', (mesh: DirectoryMesh) => {
			mesh.kill(mesh.watchers);
		}],
		['are refused by the store', (mesh: DirectoryMesh) => {
			mesh.setAccess(mesh.watchers, 'refused');
		}],
		['hear nothing more of the store', (mesh: DirectoryMesh) => {
			mesh.setAccess(mesh.watchers, 'silent');
		}],
	])('have a new configuration in force in time if all watchers %s just before it', async (_name, loseWatchers) => {
		const mesh = await startMesh();
		loseWatchers(mesh);
		configure(2);
		await vi.advanceTimersByTimeAsync(CONFIG_MS);
		expect(Object.keys(mesh.countVersions())).toEqual(['2']);
	});

	it('have it in force in time on the side of a cut that reaches the store, and on the other soon after the cut heals', async () => {
		const mesh = await startMesh();
		const cutOff = mesh.members.filter((_member, index) => index % 2 === 0);
		const others = mesh.members.filter(member => !cutOff.includes(member));
		for (const member of cutOff) {
			member.side = 1;
		}

		mesh.setAccess(cutOff, 'silent');
		configure(2);
		await vi.advanceTimersByTimeAsync(CONFIG_MS);
		expect([mesh.countVersions(others), mesh.countVersions(cutOff)]).toEqual([{2: SIZE / 2}, {1: SIZE / 2}]);
		for (const member of cutOff) {
			member.side = 0;
		}

		await vi.advanceTimersByTimeAsync(CONFIG_MS);
		expect(mesh.countVersions()).toEqual({2: SIZE});
	});

	it('compare no versions while entries change one after the other, and all know them afterwards', async () => {
		const mesh = await startMesh();
		const countComparisons = () => mesh.members.reduce((sum, {sentFrames}) => sum + (sentFrames.get(FrameTag.versions) ?? 0), 0);
		const before = countComparisons();
		for (const member of mesh.members.slice(0, 50)) {
			member.directory.publish({...member.entry, target: undefined});
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await vi.advanceTimersByTimeAsync(50);
		}

		expect(countComparisons() - before).toBeLessThan(SIZE / 10);
		await vi.advanceTimersByTimeAsync(2000);
		expect(new Set(mesh.members.map(({hosts}) => hosts.digest)).size).toBe(1);
	});

	it('all hear once of a slow target, and ignore older messages of it', async () => {
		const mesh = await startMesh();
		const [slow, other] = mesh.members;
		slow.gossip.floodSlowness({host: slow.name, slowness: 5, measuredMs: 2000});
		await vi.advanceTimersByTimeAsync(100);
		other.gossip.floodSlowness({host: slow.name, slowness: 1, measuredMs: 1000});
		await vi.advanceTimersByTimeAsync(100);
		expect(new Set(mesh.members.map(({slowness}) => JSON.stringify(slowness.map(heard => heard.slowness))))).toEqual(new Set(['[5]']));
	});

	it('never return to an older configuration that a peer still has', async () => {
		const mesh = await startMesh();
		configure(2);
		await vi.advanceTimersByTimeAsync(10);
		const [first] = mesh.members;
		const older = store.get('site', 'main');
		configure(3);
		await vi.advanceTimersByTimeAsync(1000);
		first.directory.offerSite(older.value, older.revision + 100);
		expect(first.siteVersion).toBe(3);
	});

	it('learn of a changed entry while the store is down, and of a deleted one', async () => {
		const mesh = await startMesh();
		mesh.setAccess(mesh.members, 'refused');
		const [changed] = mesh.members;
		changed.directory.publish({...changed.entry, target: undefined});
		await vi.advanceTimersByTimeAsync(2000);
		expect(new Set(mesh.members.map(({hosts}) => hosts.get(changed.name)?.target))).toEqual(new Set([undefined]));
		mesh.kill([changed]);
		mesh.setAccess(mesh.members, 'open');
		void mesh.members[1].directory.removeEntry(changed.name);
		await vi.advanceTimersByTimeAsync(4000);
		expect(new Set(mesh.members.slice(1).map(({hosts}) => hosts.get(changed.name)))).toEqual(new Set([undefined]));
	});

	it('write their lost entries again within 2 s after the store is restored from an older copy, and believe no deleted entry of it', async () => {
		configure(1);
		const mesh = new DirectoryMesh(store, SIZE - 5);
		await vi.advanceTimersByTimeAsync(10_000);
		const gone = mesh.add('gone');
		await vi.advanceTimersByTimeAsync(2000);
		const copy = store.copy();
		mesh.kill([gone]);
		store.delete(HOST_KIND, gone.name);
		for (const number of [1, 2, 3, 4]) {
			mesh.add(`late${number}`);
		}

		await vi.advanceTimersByTimeAsync(4000);
		const cutOff = mesh.members.find(member => !mesh.watchers.includes(member))!;
		mesh.setAccess([cutOff], 'silent');
		const {fresh} = mesh.calls;
		store.restore(copy);
		await vi.advanceTimersByTimeAsync(2000);
		const stored = new Set(store.list(HOST_KIND).objects.map(({name}) => name));
		expect([1, 2, 3, 4].filter(number => !stored.has(`late${number}`))).toEqual([]);
		expect(mesh.calls.fresh - fresh).toBeLessThan(2 * SIZE);
		expect(cutOff.directory.storeEpoch).toBe(store.epoch);
		expect(mesh.members.filter(({isUp, hosts}) => isUp && hosts.get(gone.name) !== undefined)).toEqual([]);
	});

	it('keep the configuration in force when the store is restored with an older one, and take the next one in time', async () => {
		const mesh = await startMesh();
		const copy = store.copy();
		configure(2);
		await vi.advanceTimersByTimeAsync(CONFIG_MS);
		store.restore(copy);
		await vi.advanceTimersByTimeAsync(CONFIG_MS);
		expect(mesh.countVersions()).toEqual({2: SIZE});
		configure(3);
		await vi.advanceTimersByTimeAsync(CONFIG_MS);
		expect(mesh.countVersions()).toEqual({3: SIZE});
	});
});
