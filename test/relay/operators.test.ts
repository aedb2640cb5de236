import {setTimeout as sleep} from 'node:timers/promises';
import {cac} from 'cac';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {registerOperateCommands} from '../../src/cli/sitecommands.js';
import {type Organisation} from '../../src/mesh/index.js';
import {hashPrefixOf} from '../../src/relay/index.js';
import {RefusalCounts} from '../../src/relay/clients/refusalcounts.js';
import {
	Mesh, type MeshHost, createRoute, createSiteSpec,
} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

const LIMITED: Organisation = {
	name: 'acme', keys: ['key-of-acme'], ratePerS: 10, burst: 10,
};
const SMALL = Array.from({length: 11}, (_, index): Organisation => ({name: `small-${index}`, keys: [`key-${index}`], burst: 0}));
const ROUTES = [createRoute('x', 'back'), createRoute('nowhere', 'missing')];
const REQUEST_INTERVAL_MS = 20;
const MAX_AGE_MS = 5000;

let mesh: Mesh;
let lines: string[];
beforeEach(() => {
	mesh = new Mesh({quotaRoom: {windowMs: 5000, over: 0, slack: 6}, revocation: {isStrict: true, maxAgeMs: MAX_AGE_MS}});
	lines = [];
	vi.spyOn(console, 'log').mockImplementation((text: string) => {
		lines.push(...text.split('\n'));
	});
});
afterEach(async () => {
	vi.restoreAllMocks();
	await mesh.close();
});

/** Runs a command of the command line. @returns the lines that it prints */
async function run(...words: string[]): Promise<string[]> {
	lines.length = 0;
	const cli = cac('comfreydyke');
	registerOperateCommands(cli);
	cli.parse(['node', 'comfreydyke', ...words], {run: false});
	await cli.runMatchedCommand();
	return [...lines];
}

const addressOf = ({settings}: MeshHost) => `127.0.0.1:${settings.listen.metrics!.port}`;
const send = async (port: number, id: string, {path = '/x/', key}: {path?: string; key: string}) => call(port, path, {headers: {...createAttemptHeaders(id), authorization: `Bearer ${key}`}});

describe('an operator who asks a daemon about an organisation', () => {
	it('learns what is in force, how much of its limit is used and lent, and who refused what, by name and by key, but no key', async () => {
		const {front, back, port} = await mesh.addPair({routes: ROUTES, back: {slots: 40}});
		mesh.configure({...createSiteSpec(ROUTES, 7), organisations: [LIMITED, ...SMALL]});
		await sleep(2500);
		for (let index = 0; index < 150; index++) {
			void send(port, `q${index}`, {key: 'key-of-acme'});
			// eslint-disable-next-line no-await-in-loop -- the requests are spread over the time
			await sleep(REQUEST_INTERVAL_MS);
		}

		await send(port, 'n1', {path: '/nowhere/', key: 'key-10'});
		const {status: unknownStatus} = await send(port, 'w1', {key: 'withdrawn-key'});
		const byName = await run('explain', addressOf(front), 'acme');
		const byKey = await run('explain', addressOf(front), 'key-of-acme');
		const atBack = await run('explain', addressOf(back), 'acme');
		const status = await run('status', addressOf(front));
		const unknown = await run('explain', addressOf(front), 'withdrawn-key');
		expect(byName[0]).toMatch(/^front: configuration version 7, confirmed \d+ ms ago$/v);
		expect(byName[1]).toBe(`  acme: keys ${hashPrefixOf('key-of-acme')}, rank of the route, weight 10`);
		expect(byName[2]).toMatch(/^ {2}limit 10\/s and 10 at once over all daemons, over it: \d+% of requests admitted$/v);
		expect(byName.join('\n')).toMatch(/lent to this daemon: [\d.]+ of [\d.]+ left, without news [\d.]+\/s; used here [\d.]+\/s of [\d.]+\/s wanted\n/v);
		expect(byName.join('\n')).toMatch(/ {2}refused \d+: quota, by this daemon/v);
		expect(byKey[1]).toContain(`acme, which holds the key with the hash ${hashPrefixOf('key-of-acme')}:`);
		// One of the two keeps the books.
		expect([...byName, ...atBack].filter(line => line.startsWith('  books, of all daemons: used '))).toHaveLength(1);
		expect(unknownStatus).toBe(401);
		expect(mesh.logLines.find(line => line.includes('event=unauthenticated attempt=w1 '))).toContain(`siteVersion=7 keyHash=${hashPrefixOf('withdrawn-key')}`);
		expect(unknown).toContain(`  no organisation has this name, or a key with the hash ${hashPrefixOf('withdrawn-key')}: requests with such a key get 401 (unknown-key)`);
		// Acme and seven of the small ones are named; the one that was refused is not.
		expect(status.filter(line => line.includes('limit'))).toHaveLength(8);
		expect(status.filter(line => line.includes('no limit'))).toHaveLength(7);
		expect(status.at(-1)).toBe('  4 others: refused here 1');
		expect([...byName, ...byKey, ...status, ...unknown].join('\n')).not.toMatch(/key-of-acme|withdrawn-key/v);
	}, 20_000);

	it('learns that a strict daemon refuses keys, because nobody confirms the configuration', async () => {
		const {front, port} = await mesh.addPair({routes: ROUTES});
		mesh.configure({...createSiteSpec(ROUTES, 2), organisations: [LIMITED]});
		await sleep(1000);
		mesh.store.fault = 'down';
		await sleep(MAX_AGE_MS + 1500);
		const {status} = await send(port, 'u1', {key: 'key-of-acme'});
		const answer = await run('explain', addressOf(front), 'acme');
		expect(status).toBe(503);
		expect(answer[0]).toMatch(/^front: configuration version 2, confirmed \d+ ms ago; requests with a key get 503 \(unconfirmed\) after 5000 ms$/v);
	}, 20_000);
});

describe('the counts of refusals', () => {
	it('are bounded for each organisation, and forgotten with it', () => {
		const counts = new RefusalCounts();
		for (let index = 0; index < 1000; index++) {
			counts.record('acme', 'full', `host-${index}`);
		}

		counts.record(undefined, 'full', 'host');
		expect(counts.of('acme')).toHaveLength(25);
		expect(counts.of('acme')[0]).toEqual({reason: 'other', host: 'none', count: 976});
		counts.retain(new Set(['bolt']));
		expect(counts.of('acme')).toEqual([]);
	});
});
