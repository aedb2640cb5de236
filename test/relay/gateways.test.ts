import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {DirectoryMesh, type MeshMember} from '../../fakes/directorymesh.js';
import {MemoryStore} from '../../fakes/memorystore.js';
import {Random} from '../../fakes/random.js';
import {type Frame, FrameTag, encodeFrame} from '../../src/relay/peers/frame.js';
import {createRoute, createSiteSpec} from '../../standins/mesh.js';

/** The time within which a configuration must be in force everywhere, in ms. */
const CONFIG_MS = 3000;
const SIZE = 120;
const DOMAIN_COUNT = 3;
const LOST_SHARE = 0.3;

let store: MemoryStore;
let bytesAcross: number;
let isLost: (sent: {frame: Frame; from: MeshMember; to: MeshMember}) => boolean;
let random: Random;
const configure = (version: number) => {
	store.set('site', 'main', createSiteSpec([createRoute('x', 's')], version));
};

const startMesh = async (size = SIZE) => {
	store = new MemoryStore();
	configure(1);
	bytesAcross = 0;
	isLost = () => false;
	random = new Random(1);
	const mesh = new DirectoryMesh(store, size, {
		domainCount: DOMAIN_COUNT,
		onSend(frame, from, to) {
			bytesAcross += from.failureDomain === to.failureDomain ? 0 : encodeFrame(frame).length;
			return isLost({frame, from, to});
		},
	});
	await vi.advanceTimersByTimeAsync(12_000);
	return mesh;
};

const gatewaysOf = ({members}: DirectoryMesh) => members.filter(({isUp, failureDomain, gossip}) => isUp && gossip.neighbors.some(neighbor => neighbor.failureDomain !== failureDomain));
const withdraw = (member: MeshMember) => {
	member.directory.publish({...member.entry, target: undefined});
};

/** The number of running daemons that know an entry with a target. */
const countKnowing = ({members}: DirectoryMesh, name: string) => members.filter(({isUp, hosts}) => isUp && hosts.get(name)?.target !== undefined).length;

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

describe('failure domains that only gateways link', () => {
	it('send as much to each other for a changed entry of 240 daemons as of 60, and as a start for each of them', async () => {
		const measure = async (size: number) => {
			const mesh = await startMesh(size);
			const start = bytesAcross;
			for (const member of mesh.members.slice(0, 20)) {
				withdraw(member);
			}

			await vi.advanceTimersByTimeAsync(1500);
			return {start: start / size, changes: bytesAcross - start};
		};

		const [few, many] = [await measure(60), await measure(240)];
		expect(many.start).toBeLessThan(few.start * 2);
		expect(many.changes).toBeLessThan(few.changes * 2);
	});

	it('send nothing over links that only their start has needed', async () => {
		const mesh = await startMesh();
		const linked = new Set<string>();
		isLost = ({from, to}) => {
			linked.add([from.name, to.name].toSorted().join(' '));
			return false;
		};

		configure(2);
		await vi.advanceTimersByTimeAsync(1000);
		const chosen = new Set(mesh.members.flatMap(({name, gossip}) => gossip.neighbors.map(({host}) => [name, host].toSorted().join(' '))));
		expect([...linked].filter(link => !chosen.has(link))).toEqual([]);
	});

	it('all know a configuration in time that one domain alone can read, and an entry, while all gateways of it have just died', async () => {
		const mesh = await startMesh();
		const first = mesh.members.filter(({failureDomain}) => failureDomain === 'd0');
		mesh.setAccess(mesh.members.filter(member => !first.includes(member)), 'refused');
		mesh.kill(gatewaysOf(mesh).filter(member => first.includes(member)));
		const changed = first.find(({isUp}) => isUp)!;
		withdraw(changed);
		configure(2);
		await vi.advanceTimersByTimeAsync(CONFIG_MS);
		expect([Object.keys(mesh.countVersions()), countKnowing(mesh, changed.name)]).toEqual([['2'], 0]);
	});

	it('all know an entry although the links between domains lose frames', async () => {
		const mesh = await startMesh();
		isLost = ({from, to}) => from.failureDomain !== to.failureDomain && random.next() < LOST_SHARE;
		for (const member of mesh.members.slice(0, 10)) {
			withdraw(member);
		}

		await vi.advanceTimersByTimeAsync(6000);
		expect(mesh.members.slice(0, 10).map(({name}) => countKnowing(mesh, name))).toEqual(Array.from({length: 10}, () => 0));
	});

	it('all know an entry without the store although some daemons never send what they have offered', async () => {
		const mesh = await startMesh();
		mesh.setAccess(mesh.members, 'refused');
		const mute = new Set([...gatewaysOf(mesh).slice(0, 2), ...mesh.members.slice(20, 30)]);
		isLost = ({frame, from}) => frame[0] === FrameTag.records && mute.has(from);
		const changed = mesh.members.filter(member => !mute.has(member)).slice(0, 10);
		for (const member of changed) {
			withdraw(member);
		}

		await vi.advanceTimersByTimeAsync(4000);
		expect(changed.map(({name}) => countKnowing(mesh, name))).toEqual(changed.map(() => 0));
	});

	it('all know what changed beyond a cut soon after it heals', async () => {
		const mesh = await startMesh();
		mesh.setAccess(mesh.members, 'refused');
		const cutOff = mesh.members.filter(({failureDomain}) => failureDomain === 'd0');
		for (const member of cutOff) {
			member.side = 1;
		}

		await vi.advanceTimersByTimeAsync(5000);
		const changed = [cutOff[5], mesh.members.find(member => !cutOff.includes(member))!];
		for (const member of changed) {
			withdraw(member);
		}

		await vi.advanceTimersByTimeAsync(2000);
		for (const member of cutOff) {
			member.side = 0;
		}

		await vi.advanceTimersByTimeAsync(CONFIG_MS);
		expect(changed.map(({name}) => countKnowing(mesh, name))).toEqual([0, 0]);
	});
});
