import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {HOST_KIND} from '../../src/relay/store/ownentry.js';
import {Mesh, type MeshHost} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {MeshTarget, call} from '../../standins/meshtarget.js';

// Guards against a daemon that starts again beside a draining target and gives it calls for another drain time.

const DRAIN_MS = 500;

let mesh: Mesh;
let nextId = 0;
afterEach(async () => {
	await mesh.close();
});

async function createPair(): Promise<{back: MeshHost; port: number}> {
	mesh = new Mesh({isFirstStart: false, drainMs: DRAIN_MS});
	const {back, port} = await mesh.addPair();
	expect(await countRuns(port, back.target)).toBe(3);
	return {back, port};
}

/** Has the target say that it drains, in all its announcements from now on. */
async function drain({target, settings}: MeshHost): Promise<void> {
	target.announce = async port => MeshTarget.prototype.announce.call(target, port, 'draining');
	expect(await target.announce(settings.listen.announcements.port)).toBe(200);
}

/** Stops the daemon and starts another one on the same ports. */
async function restart(host: MeshHost): Promise<MeshHost> {
	const {name, target, settings: {listen}, stop} = host;
	await stop();
	const ports = [listen.requests, listen.peers, listen.readiness, listen.announcements].map(({port}) => port);
	const successor = await mesh.startDaemon(name, target, ports);
	mesh.hosts.splice(mesh.hosts.indexOf(host), 1, successor);
	return successor;
}

async function countRuns(port: number, target: MeshTarget): Promise<number> {
	const before = target.receivedRequests.length;
	for (let index = 0; index < 3; index++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await call(port, '/x/', {headers: createAttemptHeaders(`a${nextId++}`, 500)});
	}

	return target.receivedRequests.length - before;
}

describe('a target whose leaving its daemon hasn\'t written to the store yet', () => {
	it('gets the acknowledgement once the store has it', async () => {
		const {back} = await createPair();
		mesh.store.fault = 'down';
		let isAcknowledged = false;
		const leaving = (async () => {
			expect(await back.target.deregister(back.settings.listen.announcements.port)).toBe(200);
			isAcknowledged = true;
		})();
		await sleep(100);
		expect(isAcknowledged).toBe(false);
		mesh.store.fault = 'none';
		await leaving;
		const {value} = mesh.store.get(HOST_KIND, back.name);
		expect(value).toMatchObject({ended: {id: 'i-back', bornMs: 1}});
	});

	it('gets it in time if the store stays away', async () => {
		const {back} = await createPair();
		mesh.store.fault = 'down';
		expect(await back.target.deregister(back.settings.listen.announcements.port)).toBe(200);
	});
});

describe('a draining target whose daemon starts again', () => {
	it.each([
		{name: 'at once', pauseMs: 0},
		{name: 'after the drain time', pauseMs: DRAIN_MS},
		{name: 'while the store is silent', pauseMs: DRAIN_MS, isStoreDown: true},
		{name: 'once after the other', pauseMs: DRAIN_MS, restarts: 3},
	])('gets no request after the drain time, $name', async ({pauseMs, isStoreDown = false, restarts = 1}) => {
		const {back, port} = await createPair();
		await drain(back);
		const endMs = Date.now() + DRAIN_MS;
		await sleep(pauseMs);
		if (isStoreDown) {
			mesh.store.fault = 'down';
			mesh.store.wakeWatches();
		}

		let successor = back;
		for (let index = 0; index < restarts; index++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			successor = await restart(successor);
			// eslint-disable-next-line no-await-in-loop -- the same
			await sleep(Math.max(0, endMs - Date.now()));
			// eslint-disable-next-line no-await-in-loop -- the same
			expect(await countRuns(port, back.target)).toBe(0);
		}

		await mesh.settle();
		expect(await countRuns(port, back.target)).toBe(0);
	});

	it.each([{isStoreDown: false}, {isStoreDown: true}])('gets no request when an announcement from before its drain arrives late, store down: $isStoreDown', async ({isStoreDown}) => {
		const {back, port} = await createPair();
		await drain(back);
		await sleep(DRAIN_MS);
		mesh.store.fault = isStoreDown ? 'down' : 'none';
		mesh.store.wakeWatches();
		back.target.announce = async () => 0;
		const successor = await restart(back);
		await mesh.settle();
		await back.target.announceLate(successor.settings.listen.announcements.port);
		expect(await countRuns(port, back.target)).toBe(0);
		await drain(successor);
		await mesh.settle();
		expect(await countRuns(port, back.target)).toBe(0);
	});

	it('is used as soon as it has started anew', async () => {
		const {back, port} = await createPair();
		await drain(back);
		const successor = await restart(back);
		await MeshTarget.prototype.announce.call(back.target, successor.settings.listen.announcements.port, 'ready', 2);
		await mesh.settle();
		expect(await countRuns(port, back.target)).toBe(3);
	});
});
