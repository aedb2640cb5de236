import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';

const RECORDS = 30;

let pair: DaemonPair;
let errors: string[];
beforeEach(() => {
	pair = new DaemonPair();
	errors = [];
	vi.spyOn(process.stdout, 'write').mockImplementation(line => {
		errors.push(String(line));
		return true;
	});
});
afterEach(async () => {
	vi.restoreAllMocks();
	await pair.close();
});

async function write(key: string, text: string) {
	const {status} = await fetch(`${pair.platformUrl}/objects/${encodeURIComponent(key)}`, {method: 'PUT', body: text});
	expect(status).toBe(200);
}

const unexpected = () => errors.filter(line => line.includes('unexpected_error'));

describe('on the product\'s own path, an odd entry among those of the daemons', () => {
	// Guards against daemons that end because several records name an address to which a link can't be opened.
	it.each([
		'127.0.0.1:80#', '127.0.0.1:80/?#x', '127.0.0.1:0', '127.0.0.1:99999', '127.0.0.1:080', '127.0.0.1', 'x:y@127.0.0.1:80', 'a/b:80',
	])('with the address %s names no daemon', async address => {
		await pair.startPlatform();
		for (let number = 0; number < RECORDS; number++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await write(`joins/odd-${number}`, JSON.stringify({id: `odd-${number}`, address, startMs: 1e308}));
		}

		await pair.start();
		await sleep(1500);
		expect(unexpected()).toEqual([]);
		expect(errors.filter(line => line.includes('object_rejected')).length).toBeGreaterThanOrEqual(RECORDS);
		expect(await pair.call('/back/look')).toBe(200);
	}, 20_000);
});
