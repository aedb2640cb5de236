import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	afterAll, afterEach, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import {bundle} from '../../scripts/bundle.mjs';
import {DAEMON_IP, takePort} from '../../standins/daemonprocess.js';
import {findFreePorts} from '../../standins/ports.js';

let folder: string;
let child: ChildProcess;
let log = '';
let port: number;
beforeAll(async () => {
	folder = mkdtempSync(path.join(tmpdir(), 'comfreydyke-product-'));
	await bundle('src/cli/main.ts', path.join(folder, 'main.mjs'));
});
afterAll(() => {
	rmSync(folder, {recursive: true});
});
beforeEach(async () => {
	log = '';
	[port] = await findFreePorts(1);
	writeFileSync(path.join(folder, 'settings.json'), JSON.stringify({
		id: 'a', region: 'r', failureDomain: 'd', listen: {host: DAEMON_IP, port}, platform: {url: `http://${DAEMON_IP}:1`}, siteKey: 'x'.repeat(16),
	}));
});
afterEach(() => {
	child.kill('SIGKILL');
});

const settingsPath = () => path.join(folder, 'settings.json');

function start(): void {
	child = spawn(process.execPath, [path.join(folder, 'main.mjs'), 'daemon', path.join(folder, 'settings.json')], {stdio: ['ignore', 'pipe', 'pipe']});
	child.stdout!.on('data', data => {
		log += String(data);
	});
}

// Guards against a start of the product's own daemon that a signal cuts off.
describe('a daemon of the product\'s own path whose address is taken', () => {
	it('says that it waits, and starts once it is free', async () => {
		const holder = await takePort(port);
		start();
		await expect.poll(() => log, {timeout: 10_000}).toContain(`event=address_unavailable address=${DAEMON_IP}:${port} reason=EADDRINUSE`);
		holder.close();
		await expect.poll(() => log, {timeout: 10_000}).toContain('event=started');
	});

	it('ends in order at SIGTERM', async () => {
		const holder = await takePort(port);
		start();
		await expect.poll(() => log, {timeout: 10_000}).toContain('event=address_unavailable');
		child.kill('SIGTERM');
		expect(await once(child, 'exit')).toEqual([0, null]);
		holder.close();
	});
});

// Guards against a daemon of the product's own path that ends by itself because its settings file is still being written.
describe('a daemon of the product\'s own path whose settings are incomplete', () => {
	it.each([
		['missing', () => undefined, 'ENOENT'], ['empty', () => '', 'invalid JSON'], ['half written', (text: string) => text.slice(0, text.length / 2), 'invalid JSON'],
	])('waits for them: %s', async (_name, cut, reason) => {
		const text = readFileSync(settingsPath(), 'utf8');
		const incomplete = cut(text);
		rmSync(settingsPath());
		if (incomplete !== undefined) {
			writeFileSync(settingsPath(), incomplete);
		}

		start();
		await expect.poll(() => log, {timeout: 10_000}).toMatch(new RegExp(`event=settings_rejected .*${reason}`, 'v'));
		writeFileSync(settingsPath(), text);
		await expect.poll(() => log, {timeout: 10_000}).toContain('event=started');
	});
});

describe('a daemon of the product\'s own path', () => {
	// Guards against a daemon that a SIGHUP ends.
	it('goes on after a SIGHUP, and says that it reads no settings then', async () => {
		start();
		await expect.poll(() => log, {timeout: 10_000}).toContain('event=started');
		child.kill('SIGHUP');
		await expect.poll(() => log, {timeout: 10_000}).toContain('event=reload_ignored');
		expect([child.exitCode, child.signalCode]).toEqual([null, null]);
	});
});
