import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {SITE} from '../../bench/start/site.js';
import {HEARTBEAT_METHOD, RPC_PATH} from '../../platform/names.js';
import {DAEMON_IP, DaemonProcess, LISTEN_NAMES} from '../../standins/daemonprocess.js';
import {StoreStandin} from '../../standins/store.js';

const REPEATS = 30;
const SETTLE_MS = 2000;

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

/** Sends bytes on a connection of its own, and resets it a moment later. */
async function send(port: number, text: string): Promise<void> {
	const socket = connect(port, DAEMON_IP);
	socket.on('error', () => undefined);
	socket.on('connect', () => {
		socket.write(text, 'latin1');
	});
	await sleep(20);
	socket.resetAndDestroy();
}

const upgrade = 'connection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n';
const ODD: ReadonlyArray<[name: string, text: string]> = [
	['no HTTP', '\u0000\u0001\u00FF\r\n\r\n'],
	['half a head', 'GET / HTTP/1.1\r\nhost'],
	['half a body', 'POST /back/ HTTP/1.1\r\nhost: site\r\nx-comfreydyke-attempt-id: a\r\ncontent-length: 100\r\n\r\nx'],
	['a broken chunk', 'POST /back/ HTTP/1.1\r\nhost: site\r\nx-comfreydyke-attempt-id: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n'],
	['a path that is none', 'GET //%zz?%zz HTTP/1.1\r\nhost: site\r\nx-comfreydyke-attempt-id: a\r\n\r\n'],
	['a tunnel', 'CONNECT site:80 HTTP/1.1\r\nhost: site\r\n\r\n'],
	['an expectation', 'POST /back/ HTTP/1.1\r\nhost: site\r\nx-comfreydyke-attempt-id: a\r\nexpect: x\r\ncontent-length: 1\r\n\r\nx'],
	['an upgrade', `GET /back/ HTTP/1.1\r\nhost: site\r\nx-comfreydyke-attempt-id: a\r\n${upgrade}\u0082\u00FF`],
	['a trailer', 'POST /back/ HTTP/1.1\r\nhost: site\r\nx-comfreydyke-attempt-id: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\u00E9: \u00FF\r\n\r\n'],
];

const HEARTBEAT = JSON.stringify({
	address: `${DAEMON_IP}:1`, born: 1, info: {
		service: 'back', version: '1', zone: 'a', slots: 4,
	}, status: {state: 'ready', seq: 1, warmup_left_ms: 0},
});
const VALUES = ['9007199254740991', '-9007199254740991', '1e308', '1e999', '-1', '0', '""', 'null', '[]', '{}', `"${'x'.repeat(60_000)}"`, '['.repeat(9000) + ']'.repeat(9000), `"${DAEMON_IP}:99999"`];

// Guards against a daemon that the requests of one client end.
describe('a daemon whose addresses get odd requests', () => {
	it.each(ODD)('meets no unexpected error: %s', async (_name, text) => {
		daemon.startWith();
		await expect.poll(async () => daemon.readiness(), {timeout: 20_000}).toBe(200);
		for (const name of LISTEN_NAMES) {
			const port = daemon.ports[name];
			// eslint-disable-next-line no-await-in-loop -- one address after the other
			await Promise.all(Array.from({length: REPEATS}, async () => send(port, text)));
		}

		await sleep(SETTLE_MS);
		expect(daemon.log).not.toContain('event=unexpected_error');
		expect(daemon.end).toBe(undefined);
		expect(await daemon.readiness()).toBe(200);
	});

	it('meets no unexpected error: announcements with extreme fields', async () => {
		daemon.startWith();
		await expect.poll(async () => daemon.readiness(), {timeout: 20_000}).toBe(200);
		const announce = async (body: string) => {
			const response = await fetch(`http://${DAEMON_IP}:${daemon.ports.announcements}${RPC_PATH}?call=${HEARTBEAT_METHOD}&of=i`, {method: 'POST', body});
			await response.text();
			return response.status;
		};

		const statuses = new Set<number>();
		for (const field of ['born', 'slots', 'service', 'zone', 'seq', 'state', 'warmup_left_ms', 'address']) {
			for (const value of VALUES) {
				// eslint-disable-next-line no-await-in-loop -- one after the other
				statuses.add(await announce(HEARTBEAT.replace(new RegExp(String.raw`"${field}":[^,\}]*`, 'v'), `"${field}":${value}`)));
			}
		}

		// Some are valid, and in force.
		expect(statuses).toEqual(new Set([200, 400]));
		await sleep(SETTLE_MS);
		expect(daemon.log).not.toContain('event=unexpected_error');
		expect(daemon.end).toBe(undefined);
	});
});
