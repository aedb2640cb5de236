import {
	renameSync, rmSync, utimesSync, writeFileSync,
} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {DaemonProcess} from '../../standins/daemonprocess.js';

const INCOMPLETE_MS = 500;

let daemon: DaemonProcess;
beforeEach(async () => {
	daemon = await DaemonProcess.create();
});
afterEach(async () => {
	await daemon.close();
});

const settings = (changes: Readonly<Record<string, unknown>> = {}) => daemon.formatSettings(changes);
const write = (text: string) => {
	writeFileSync(daemon.settingsPath, text);
};

const INCOMPLETE: ReadonlyArray<[name: string, text: () => string | undefined, reason: string]> = [
	['missing', () => undefined, 'ENOENT'],
	['empty', () => '', 'settings: Unexpected end of JSON input'],
	['half written', () => settings().slice(0, settings().length / 2), 'settings: '],
	['invalid', () => settings({host: 7}), 'host: '],
];

// Guards against a daemon that ends by itself because its settings file is still being written.
describe('a daemon that starts while its settings are incomplete', () => {
	it.each(INCOMPLETE)('waits for them, and starts with the complete ones: %s', async (_name, text, reason) => {
		const incomplete = text();
		if (incomplete !== undefined) {
			write(incomplete);
		}

		daemon.start();
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain(`event=settings_rejected reason="${reason}`);
		await sleep(INCOMPLETE_MS);
		expect(daemon.end).toBe(undefined);
		write(settings());
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=started host=host-a');
		expect(daemon.log.match(/event=settings_rejected/gv)).toHaveLength(1);
	});

	it('ends after a while with an error that names the field and the reason', async () => {
		write(settings({host: 7}));
		daemon.start();
		await expect.poll(() => daemon.end, {timeout: 40_000}).toBe(1);
		expect(daemon.log).toContain('host: Invalid input: expected string, received number');
	});
});

describe('a daemon whose settings are incomplete when they change', () => {
	const start = async () => {
		daemon.startWith();
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=started');
	};

	const reloaded = async () => expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=reloaded service=other before=back');

	it.each(INCOMPLETE)('keeps the old ones, and takes the complete ones that follow: %s', async (_name, text, reason) => {
		await start();
		const incomplete = text();
		if (incomplete === undefined) {
			rmSync(daemon.settingsPath);
		} else {
			write(incomplete);
		}

		daemon.kill('SIGHUP');
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain(`event=settings_rejected reason="${reason}`);
		write(settings({service: 'other'}));
		await reloaded();
	});

	it('takes complete ones with the time and the size of those that it has rejected', async () => {
		await start();
		const complete = settings({service: 'other'});
		const time = new Date();
		write(complete.replace('{', '['));
		utimesSync(daemon.settingsPath, time, time);
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=settings_rejected');
		write(complete);
		utimesSync(daemon.settingsPath, time, time);
		await reloaded();
	});

	it('logs an invalid file once, however long it stays', async () => {
		await start();
		write(settings({host: 7}));
		await sleep(5000);
		expect(daemon.log.match(/event=settings_rejected/gv)).toHaveLength(1);
		expect(daemon.end).toBe(undefined);
	});
});

describe('a daemon whose settings change without a signal', () => {
	// Guards against requests that run under the name of the service that ran on this host before (UNASKED): the file was only looked at every 2 s.
	it.each([['written in place', (text: string) => {
		write(text);
	}], ['replaced', (text: string) => {
		writeFileSync(`${daemon.settingsPath}.new`, text);
		renameSync(`${daemon.settingsPath}.new`, daemon.settingsPath);
	}]])('takes them at once: %s', async (_name, change) => {
		daemon.startWith();
		await expect.poll(() => daemon.log, {timeout: 10_000}).toContain('event=started');
		await sleep(100);
		const names = Array.from({length: 10}, (_, index) => `other-${index}`);
		for (const service of names) {
			change(settings({service}));
			// eslint-disable-next-line no-await-in-loop -- one change after the other
			await sleep(200);
		}

		// Each of them was in force before the next one came.
		expect([...daemon.log.matchAll(/event=reloaded service=(?<service>\S+)/gv)].map(({groups}) => groups!.service)).toEqual(names);
	});
});
