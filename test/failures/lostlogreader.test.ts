import {execFileSync} from 'node:child_process';
import {
	closeSync, constants, openSync, readSync, writeSync,
} from 'node:fs';
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {SITE} from '../../bench/start/site.js';
import {DAEMON_IP, DaemonProcess} from '../../standins/daemonprocess.js';
import {StoreStandin} from '../../standins/store.js';

const MESSAGES = 200;
const ROUNDS = 4;
const ROUND_MS = 1100;
const READ_BYTES = 65_536;

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

/** Sends messages that the daemon rejects with a line in its log each. @returns how many it answered */
async function makeItLog(): Promise<number> {
	let answered = 0;
	for (let round = 0; round < ROUNDS; round++) {
		for (let message = 0; message < MESSAGES; message++) {
			try {
				// eslint-disable-next-line no-await-in-loop -- one after the other
				const response = await fetch(`http://${DAEMON_IP}:${daemon.ports.announcements}/none`, {method: 'POST', body: 'x', signal: AbortSignal.timeout(5000)});
				// eslint-disable-next-line no-await-in-loop
				await response.text();
				answered++;
			} catch {
				return answered;
			}
		}

		// eslint-disable-next-line no-await-in-loop -- the log has so many lines a second
		await sleep(ROUND_MS);
	}

	return answered;
}

/** Fills a pipe, as a reader does that stands still. */
function fill(pipe: number): void {
	for (const bytes of [READ_BYTES / 16, 1]) {
		while (tryWrite(pipe, bytes)) {
			// Until it takes no more.
		}
	}
}

function tryWrite(pipe: number, bytes: number): boolean {
	try {
		return writeSync(pipe, Buffer.alloc(bytes, 'x')) > 0;
	} catch {
		return false;
	}
}

function tryRead(pipe: number): string {
	try {
		const bytes = Buffer.alloc(READ_BYTES);
		return bytes.toString('latin1', 0, readSync(pipe, bytes));
	} catch {
		return '';
	}
}

const isReady = async () => expect.poll(async () => daemon.readiness(), {timeout: 10_000}).toBe(200);

// Guards against a daemon that ends, or stands still, because nobody reads its log.
describe('a daemon whose log is not read', () => {
	it('goes on when the reader is gone', async () => {
		daemon.startWith();
		await isReady();
		daemon.closeOutput();
		expect(await makeItLog()).toBe(ROUNDS * MESSAGES);
		expect(daemon.end).toBe(undefined);
		await isReady();
	});

	it('goes on when its output is a file that takes no more', async () => {
		const output = openSync('/dev/full', 'w');
		daemon.startWith({}, output);
		closeSync(output);
		await isReady();
		expect(await makeItLog()).toBe(ROUNDS * MESSAGES);
		expect(daemon.end).toBe(undefined);
	});

	it('goes on when the pipe to the reader is full, and logs again once it is read', async () => {
		const pipePath = path.join(path.dirname(daemon.settingsPath), 'log');
		execFileSync('mkfifo', [pipePath]);
		const pipe = openSync(pipePath, constants.O_RDWR | constants.O_NONBLOCK);
		fill(pipe);

		const output = openSync(pipePath, 'a');
		daemon.startWith({}, output);
		closeSync(output);
		await isReady();
		expect(await makeItLog()).toBe(ROUNDS * MESSAGES);
		expect(daemon.end).toBe(undefined);
		let text = '';
		await expect.poll(() => {
			text += tryRead(pipe);
			return text;
		}, {timeout: 10_000}).toContain('event=announcement_rejected');
		closeSync(pipe);
		await isReady();
	});
});
