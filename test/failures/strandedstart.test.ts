import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {SITE} from '../../bench/start/site.js';
import {DAEMON_IP, DaemonProcess} from '../../standins/daemonprocess.js';
import {type StoreFault, StoreStandin} from '../../standins/store.js';

const FAULT_MS = 3000;
const CLIENTS = 20;
const KILLS = 3;

let daemon: DaemonProcess;
let store: StoreStandin;
beforeEach(async () => {
	store = new StoreStandin();
	await store.listen();
	store.put('config', 'main', SITE);
	daemon = await DaemonProcess.create(store.address);
});
afterEach(async () => {
	await daemon.close();
	store.close();
});

const isReady = async () => expect.poll(async () => daemon.readiness(), {timeout: 20_000}).toBe(200);

// Guards against a start that takes a fault of its surroundings for final.
describe('a daemon that starts while its store is at fault', () => {
	it.each(['refuse', 'silent', 'garble'] satisfies StoreFault[])('is not ready, and serves once the store does: %s', async fault => {
		store.fault = fault;
		daemon.startWith();
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=started');
		await sleep(FAULT_MS);
		expect(daemon.end).toBe(undefined);
		expect(await daemon.readiness()).toBe(503);
		expect(daemon.log).not.toContain('event=unexpected_error');
		store.fault = 'none';
		await isReady();
	});

	it('serves when the answers to its writes are lost', async () => {
		store.fault = 'lose-answer';
		daemon.startWith();
		await isReady();
		await sleep(FAULT_MS);
		expect(daemon.end).toBe(undefined);
		expect(daemon.log).not.toContain('event=unexpected_error');
	});

	it('is not ready while the store is away', async () => {
		daemon.startWith({store: `${DAEMON_IP}:1`});
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=store_lost');
		await sleep(FAULT_MS);
		expect(daemon.end).toBe(undefined);
		expect(await daemon.readiness()).toBe(503);
		expect(daemon.log).not.toContain('event=unexpected_error');
	});
});

describe('a daemon that starts when the one before it was killed with open connections', () => {
	it('serves', async () => {
		daemon.startWith();
		await isReady();
		for (let kill = 0; kill < KILLS; kill++) {
			const url = `http://${DAEMON_IP}:${daemon.ports.requests}/back/`;
			const asking = Promise.allSettled(Array.from({length: CLIENTS}, async () => fetch(url)));
			daemon.kill('SIGKILL');
			daemon.start();
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await isReady();
			// eslint-disable-next-line no-await-in-loop
			await asking;
			expect(daemon.end).toBe(undefined);
		}
	});
});

describe('two daemons that start at the same time with the same addresses', () => {
	it('serve one after the other', async () => {
		const bounds = {grace_s: 30};
		daemon.startWith({bounds});
		const {ports} = daemon;
		const second = await DaemonProcess.create(store.address);
		second.startWith({bounds, listen: Object.fromEntries(Object.entries(ports).map(([name, port]) => [name, `${DAEMON_IP}:${port}`]))});
		try {
			await isReady();
			await expect.poll(() => (daemon.log + second.log).split('event=started').length - 1).toBe(1);
			const [owner, waiting] = daemon.log.includes('event=started') ? [daemon, second] : [second, daemon];
			await expect.poll(() => waiting.log, {timeout: 10_000}).toContain('event=address_unavailable');
			owner.kill('SIGTERM');
			await expect.poll(() => owner.end, {timeout: 10_000}).toBe(0);
			await expect.poll(() => waiting.log, {timeout: 10_000}).toContain('event=started');
			await isReady();
			expect(waiting.end).toBe(undefined);
		} finally {
			await second.close();
		}
	});
});
