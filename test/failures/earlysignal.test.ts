import {execFileSync} from 'node:child_process';
import {
	closeSync, constants, openSync, rmSync, writeFileSync, writeSync,
} from 'node:fs';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {DaemonProcess} from '../../standins/daemonprocess.js';

let daemon: DaemonProcess;
beforeEach(async () => {
	daemon = await DaemonProcess.create();
});
afterEach(async () => {
	await daemon.close();
});

/** Opens the settings file, a pipe, once the daemon has it open. */
function tryOpenPipe(): number | undefined {
	try {
		return openSync(daemon.settingsPath, constants.O_WRONLY | constants.O_NONBLOCK);
	} catch {
		return undefined;
	}
}

/** Starts the daemon and sends it the signal while it reads its settings for the first time. */
async function startAndSignal(signal: NodeJS.Signals): Promise<void> {
	execFileSync('mkfifo', [daemon.settingsPath]);
	daemon.start();
	let pipe: number | undefined;
	await expect.poll(() => {
		pipe = tryOpenPipe();
		return pipe;
	}, {timeout: 10_000, interval: 5}).not.toBe(undefined);
	rmSync(daemon.settingsPath);
	writeFileSync(daemon.settingsPath, daemon.formatSettings());
	daemon.kill(signal);
	writeSync(pipe!, daemon.formatSettings());
	closeSync(pipe!);
}

// Guards against a daemon that a signal ends before its start is over.
describe('a signal to a daemon that reads its settings for the first time', () => {
	it('does not end it: SIGHUP', async () => {
		await startAndSignal('SIGHUP');
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=started');
		expect(daemon.end).toBe(undefined);
	});

	it('ends it in order: SIGTERM', async () => {
		await startAndSignal('SIGTERM');
		await expect.poll(() => daemon.end, {timeout: 10_000}).toBe(0);
	});
});

describe('a signal to a daemon that waits for its settings', () => {
	beforeEach(async () => {
		daemon.start();
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=settings_rejected');
	});

	it('does not end it: SIGHUP', async () => {
		daemon.kill('SIGHUP');
		daemon.kill('SIGHUP');
		writeFileSync(daemon.settingsPath, daemon.formatSettings());
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=started');
		expect(daemon.end).toBe(undefined);
	});

	it('ends it in order: SIGTERM', async () => {
		daemon.kill('SIGTERM');
		await expect.poll(() => daemon.end, {timeout: 10_000}).toBe(0);
	});
});

describe('a second signal to a daemon that stops', () => {
	it.each(['SIGTERM', 'SIGHUP'] as const)('changes nothing: %s', async signal => {
		daemon.startWith();
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=started');
		daemon.kill('SIGTERM');
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=stopping');
		daemon.kill(signal);
		await expect.poll(() => daemon.end, {timeout: 10_000}).toBe(0);
		expect(daemon.log.match(/event=stopped/gv)).toHaveLength(1);
	});
});
