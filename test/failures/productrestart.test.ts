import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {ConfigStore} from '../../src/core/configstore.js';
import {AdmissionController} from '../../src/core/admissioncontroller.js';
import {DaemonPair} from '../../standins/daemonpair.js';
import {type PlatformFaults} from '../../standins/platform.js';

/** The platform is asked again within this time, in ms. */
const LOOK_MS = 1500;
const FRONT = 0;
const BACK = 1;

let pair: DaemonPair;
let runs: number;
beforeEach(async () => {
	pair = new DaemonPair();
	await pair.start();
	runs = 0;
	pair.onRequest = socket => {
		runs++;
		socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
	};
});
afterEach(async () => {
	vi.restoreAllMocks();
	Object.assign(pair.faults, {outage: false, slowMs: 0, staleVersions: 0});
	await pair.close();
});

async function restart(index: number): Promise<void> {
	await pair.daemons[index].stop();
	await pair.startDaemon(index);
}

/** Sends requests for some time, or until one has run. @returns how many have run */
async function countRuns(): Promise<number> {
	runs = 0;
	// eslint-disable-next-line no-unmodified-loop-condition -- the target counts
	for (const endMs = Date.now() + LOOK_MS; runs === 0 && Date.now() < endMs;) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await pair.call('/back/look');
		// eslint-disable-next-line no-await-in-loop -- as above
		await sleep(20);
	}

	return runs;
}

/** The versions between the older copy and what is written, those of the restart included. */
const OLDER = {staleVersions: 3};

/** Drops a route, and restarts the first daemon while the platform is faulty. */
async function dropRoute(faults: Partial<PlatformFaults>): Promise<void> {
	await pair.configure(['submit']);
	await expect.poll(async () => pair.call('/back/look'), {timeout: 5000}).not.toBe(200);
	Object.assign(pair.faults, faults);
	await restart(FRONT);
}

describe('a route that was dropped, on the product\'s own path', () => {
	it.each([
		['slow', {slowMs: 600}], ['refusing', {outage: true}], ['back with an older copy', OLDER],
	])('is not in use again after a restart with the platform %s', async (_name, faults) => {
		await dropRoute(faults);
		expect(await countRuns()).toBe(0);
		expect(await pair.call('/back/submit', 'POST')).toBe(200);
	});

	it('is reported if what the platform sends last counts as the newest', async () => {
		const {accept} = ConfigStore.prototype;
		let generation = 1000;
		vi.spyOn(ConfigStore.prototype, 'accept').mockImplementation(function (this: ConfigStore, object) {
			return accept.call(this, {...object, generation: generation++});
		});
		await dropRoute(OLDER);
		expect(await countRuns()).toBeGreaterThan(0);
	});
});

describe('a target that has left, on the product\'s own path', () => {
	it.each([['its own daemon', BACK], ['another daemon', FRONT]])('is not in use again after a restart of %s, but once it announces itself', async (_name, index) => {
		await pair.leave();
		await restart(index);
		expect(await countRuns()).toBe(0);
		await pair.comeBack();
		expect(await countRuns()).toBeGreaterThan(0);
	});

	it('is reported if its daemon does not take it back', async () => {
		vi.spyOn(AdmissionController.prototype, 'withdraw').mockReturnValue(false);
		await pair.leave();
		await restart(FRONT);
		expect(await countRuns()).toBeGreaterThan(0);
	});
});
