import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type SiteSpec} from '../../src/core/index.js';
import {
	ConfigWriter, ConflictError, PlatformClient, PlatformError,
} from '../../src/platform/index.js';
import {PlatformStandIn} from '../../standins/platform.js';

const HOST = '127.0.0.1';
const spec = (retryPot: number): SiteSpec => ({
	classes: [{name: 'low', rank: 0}], retryPot, retryRatio: 0.1, resendWindowMs: 1000, clockSkewMs: 1, epochMs: 1000,
});

describe('writing configuration', () => {
	let platform: PlatformStandIn;
	let client: PlatformClient;
	let writer: ConfigWriter;

	beforeEach(async () => {
		platform = new PlatformStandIn();
		const port = await platform.listen(HOST, 0);
		client = new PlatformClient(`http://${HOST}:${port}`, 2000);
		writer = new ConfigWriter(client);
	});

	afterEach(() => {
		platform.close();
	});

	it('raises the generation with each change and says when there is none', async () => {
		expect(await writer.write('site', spec(1), await writer.read('site'))).toMatchObject({generation: 1, result: 'created'});
		expect(await writer.write('site', spec(2), await writer.read('site'))).toMatchObject({generation: 2, result: 'changed'});
		expect(await writer.write('site', spec(2), await writer.read('site'))).toMatchObject({generation: 2, result: 'unchanged'});
	});

	it('lets one of three racing operators win and tells the others so', async () => {
		const base = await writer.read('site');
		const results = await Promise.allSettled([1, 2, 3].map(async pot => writer.write('site', spec(pot), base)));
		const lost = results.filter(({status}) => status === 'rejected') as PromiseRejectedResult[];
		expect(lost).toHaveLength(2);
		for (const {reason} of lost) {
			expect(reason).toBeInstanceOf(ConflictError);
			expect(reason).toMatchObject({wanted: 1, found: 1});
		}
	});

	it('settles a lost answer by reading back', async () => {
		platform.faults.loseAnswers = 1;
		expect(await writer.write('site', spec(1), await writer.read('site'))).toMatchObject({generation: 1, result: 'created'});
		expect(platform.counts.writes).toBe(1);
	});

	it('removes an object by a version without a spec', async () => {
		await writer.write('site', spec(1), await writer.read('site'));
		expect(await writer.write('site', undefined, await writer.read('site'))).toMatchObject({generation: 2, result: 'removed'});
	});

	it('fails with the platform\'s status while it is down', async () => {
		platform.faults.outage = true;
		await expect(writer.read('site')).rejects.toMatchObject({status: 503});
	});

	it('refuses writes and reads above the platform\'s rates', async () => {
		platform.close();
		platform = new PlatformStandIn({writes: 1, reads: 2});
		client = new PlatformClient(`http://${HOST}:${await platform.listen(HOST, 0)}`, 2000);
		const reads = await Promise.allSettled([1, 2, 3, 4].map(async () => client.list('')));
		expect(reads.filter(({status}) => status === 'rejected').length).toBeGreaterThan(0);
	});

	it('wakes a watch by a change below its prefix', async () => {
		const watch = client.watch('config/', 0, 5000, new AbortController().signal);
		await client.put('joins/a', {}, 0);
		await client.put('config/site', {a: 1}, 0);
		const {objects} = await watch;
		expect(objects.map(({key}) => key)).toEqual(['config/site']);
	});

	it('reports an unreachable platform as such', async () => {
		platform.close();
		await expect(client.list('')).rejects.toBeInstanceOf(PlatformError);
	});
});
