import {type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {SITE} from '../../bench/start/site.js';
import {
	DAEMON_IP, DaemonProcess, LISTEN_NAMES, type ListenName, takePort,
} from '../../standins/daemonprocess.js';
import {StoreStandin} from '../../standins/store.js';

const TAKEN_MS = 1500;
const NEEDED = LISTEN_NAMES.filter(name => name !== 'metrics');

let daemon: DaemonProcess;
let store: StoreStandin;
let holder: Server;
beforeEach(async () => {
	store = new StoreStandin();
	await store.listen();
	store.put('config', 'main', SITE);
	daemon = await DaemonProcess.create(store.address);
});
afterEach(async () => {
	await daemon.close();
	holder.close();
	store.close();
});

const addressOf = (name: ListenName) => `${DAEMON_IP}:${daemon.ports[name]}`;

async function startBesideHolder(name: ListenName, graceS: number): Promise<void> {
	holder = await takePort(daemon.ports[name]);
	daemon.startWith({bounds: {grace_s: graceS}});
}

// Guards against a daemon that ends by itself because a port of its own is still taken for a moment.
describe('a daemon that starts while an address of its own is taken', () => {
	it.each(NEEDED)('waits for it, and serves once it is free: %s', async name => {
		await startBesideHolder(name, 6);
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain(`event=address_unavailable address=${addressOf(name)} reason=EADDRINUSE waitedMs=0`);
		await sleep(TAKEN_MS);
		expect(daemon.end).toBe(undefined);
		expect(await daemon.readiness()).not.toBe(200);
		holder.close();
		await expect.poll(async () => daemon.readiness(), {timeout: 10_000}).toBe(200);
	});

	it.each(NEEDED)('ends after the grace period with an error that names it: %s', async name => {
		await startBesideHolder(name, 1);
		await expect.poll(() => daemon.end, {timeout: 20_000}).toBe(1);
		expect(daemon.log).toContain(`EADDRINUSE: address already in use ${addressOf(name)}`);
	});

	it.each(NEEDED)('ends in order at SIGTERM: %s', async name => {
		await startBesideHolder(name, 6);
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=address_unavailable');
		daemon.kill('SIGTERM');
		await expect.poll(() => daemon.end, {timeout: 10_000}).toBe(0);
		expect(daemon.log).toContain('event=stopped');
		expect(daemon.log).not.toContain('event=started');
	});

	it('serves without its metrics until their address is free, however long that takes', async () => {
		await startBesideHolder('metrics', 1);
		await expect.poll(async () => daemon.readiness(), {timeout: 10_000}).toBe(200);
		await sleep(TAKEN_MS);
		expect(await daemon.readiness()).toBe(200);
		holder.close();
		await expect.poll(async () => {
			try {
				const response = await fetch(`http://${addressOf('metrics')}/metrics`);
				return response.status;
			} catch {
				return 0;
			}
		}, {timeout: 10_000}).toBe(200);
	});

	it('answers 503 to a request that it accepts before it can serve', async () => {
		await startBesideHolder('announcements', 6);
		const ask = async () => {
			try {
				const response = await fetch(`http://${addressOf('requests')}/back/`);
				return response.status;
			} catch {
				return 0;
			}
		};

		await expect.poll(ask, {timeout: 10_000}).toBe(503);
		expect(daemon.end).toBe(undefined);
	});
});
