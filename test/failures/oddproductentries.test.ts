import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {DaemonPair} from '../../standins/daemonpair.js';

const DEEP = `${'{"a":'.repeat(170_000)}1${'}'.repeat(170_000)}`;
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

describe('on the product\'s own path, an odd object among the configurations', () => {
	// Guards against an object of another writer that no later configuration exceeds.
	it.each([
		['a large generation under another key', 'config/odd', '{"name":"service/back","generation":9007199254740991,"operationId":"a"}'],
		['another key', 'config/odd', '{"name":"service/back","generation":3,"operationId":"a"}'],
		['a large generation', 'config/service/back', '{"name":"service/back","generation":9007199254740991,"operationId":"a"}'],
		['a number that has no end', 'config/service/back', '{"name":"service/back","generation":1e400,"operationId":"a"}'],
		['a deep value', 'config/odd', DEEP],
		['a deep specification', 'config/odd', `{"name":"odd","generation":1,"operationId":"a","spec":${DEEP}}`],
		['a deep unknown field', 'config/service/back', `{"name":"service/back","generation":2,"operationId":"a","odd":${DEEP}}`],
		['a long unknown field', 'config/odd', `{"${'x'.repeat(900_000)}":1}`],
	])('with %s is refused, and what is written later is followed', async (_part, key, text) => {
		await pair.start();
		const answer = await fetch(`${pair.platformUrl}/objects/${encodeURIComponent('config/service/back')}`);
		const before = await answer.json() as {value: unknown};
		await write(key, text);
		await write('joins/odd', text);
		await expect.poll(() => errors.filter(line => line.includes('object_rejected')).length, {timeout: 5000}).toBeGreaterThan(0);
		// The operator repairs what stands under the key of the service.
		await write('config/service/back', JSON.stringify(before.value));
		await pair.configure(['look']);
		await expect.poll(async () => pair.call('/back/submit', 'POST'), {timeout: 5000}).toBe(404);
		expect(await pair.call('/back/look')).toBe(200);
		expect(unexpected()).toEqual([]);
		expect(Math.max(...errors.map(line => line.length))).toBeLessThan(5000);
	}, 20_000);
});
