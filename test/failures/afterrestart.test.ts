import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {TargetLifecycle} from '../../src/mesh/index.js';
import {Mesh, type MeshHost} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {MeshTarget, call} from '../../standins/meshtarget.js';

const DRAIN_MS = 500;

let mesh: Mesh;
let nextId = 0;
afterEach(async () => {
	vi.restoreAllMocks();
	await mesh.close();
});

/** Stops the daemon beside the target that doesn't announce itself from now on, and starts another one on the same ports. */
async function restartBesideSilent(host: MeshHost): Promise<MeshHost> {
	const {name, target, settings: {listen}, stop} = host;
	await stop();
	target.announce = async () => 0;
	const ports = [listen.requests, listen.peers, listen.readiness, listen.announcements].map(({port}) => port);
	const successor = await mesh.startDaemon(name, target, ports);
	mesh.hosts.splice(mesh.hosts.indexOf(host), 1, successor);
	return successor;
}

async function countRuns(port: number, target: MeshTarget): Promise<number> {
	const before = target.receivedRequests.length;
	for (let index = 0; index < 3; index++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await call(port, '/x/', {headers: createAttemptHeaders(`a${nextId++}`)});
	}

	return target.receivedRequests.length - before;
}

/** Lets the target leave, and restarts its daemon `pauseMs` later, while the target still answers health checks. */
async function leaveAndRestart(pauseMs: number, isStoreDown = false): Promise<{port: number; back: MeshHost}> {
	mesh = new Mesh({isFirstStart: false, drainMs: DRAIN_MS, announceIntervalMs: 300});
	const {back, port} = await mesh.addPair();
	expect(await countRuns(port, back.target)).toBe(3);
	await back.target.deregister(back.settings.listen.announcements.port);
	await sleep(pauseMs);
	if (isStoreDown) {
		mesh.store.fault = 'down';
		mesh.store.wakeWatches();
	}

	const successor = await restartBesideSilent(back);
	await sleep(DRAIN_MS);
	await mesh.settle();
	return {port, back: successor};
}

async function announceAgain({target, settings}: MeshHost, bornMs: number): Promise<void> {
	await MeshTarget.prototype.announce.call(target, settings.listen.announcements.port, 'ready', bornMs);
	await mesh.settle();
}

describe('a target that has left, whose daemon starts again', () => {
	it.each([
		{name: 'while it still answers health checks', pauseMs: 100},
		{name: 'long after its last announcement', pauseMs: 1800},
		{name: 'while the store is down, so that only peers know of it', pauseMs: 100, isStoreDown: true},
	])('gets no request, $name', async ({pauseMs, isStoreDown}) => {
		const {port, back} = await leaveAndRestart(pauseMs, isStoreDown);
		expect(await countRuns(port, back.target)).toBe(0);
		// An announcement from before it left
		await announceAgain(back, 1);
		expect(await countRuns(port, back.target)).toBe(0);
	});

	it('gets no request after a second restart either, and is used again once it has started anew', async () => {
		const {port, back} = await leaveAndRestart(100);
		const again = await restartBesideSilent(back);
		await mesh.settle();
		await mesh.settle();
		expect(await countRuns(port, again.target)).toBe(0);
		await announceAgain(again, 2);
		expect(await countRuns(port, again.target)).toBe(3);
	});

	it('is reported as used again if daemons forget at a restart which target has left', async () => {
		vi.spyOn(TargetLifecycle.prototype, 'restoreEnded').mockReturnValue(false);
		vi.spyOn(TargetLifecycle.prototype, 'restoreDrained').mockReturnValue(false);
		const {port, back} = await leaveAndRestart(100);
		expect(await countRuns(port, back.target)).toBe(3);
	});
});
