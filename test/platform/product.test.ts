import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {type SiteSpec} from '../../src/core/index.js';
import {MessageBus} from '../../src/daemon/messagebus.js';
import {PlatformTask} from '../../src/daemon/platformtask.js';
import {Logger} from '../../src/log/index.js';
import {
	ConfigWriter, ConflictError, PlatformClient, PlatformError,
} from '../../src/platform/index.js';
import {PlatformStandIn} from '../../standins/platform.js';

const HOST = '127.0.0.1';
const siteSpec = (retryPot: number): SiteSpec => ({
	classes: [{name: 'low', rank: 0}], retryPot, retryRatio: 0.1, resendWindowMs: 1000, clockSkewMs: 1, epochMs: 1000,
});

describe('a daemon\'s watch of the configuration', () => {
	it('logs that it failed, once for each outage, and that it works again', async () => {
		const platform = new PlatformStandIn();
		const port = await platform.listen(HOST, 0);
		const lines: string[] = [];
		const bus = new MessageBus();
		const task = new PlatformTask(bus, new Logger('d', 'info', line => {
			lines.push(line);
		}), `http://${HOST}:${port}`, 500);
		const events = () => lines.map(line => /event=(platform_watch_\w+)/v.exec(line)?.[1]).filter(Boolean);
		platform.faults.outage = true;
		bus.publish({type: 'platform', request: {op: 'watch', on: true}});
		// Longer than the pause after a failed watch, so that another one fails.
		await sleep(1500);
		platform.faults.outage = false;
		await new ConfigWriter(new PlatformClient(`http://${HOST}:${port}`, 2000)).write('site', siteSpec(1), {version: 0});
		await vi.waitFor(() => {
			expect(events()).toEqual(['platform_watch_lost', 'platform_watch_regained']);
		}, {timeout: 5000});
		expect(lines.find(line => line.includes('platform_watch_lost'))).toMatch(/status=503 .*reason=/v);
		task.close();
		platform.close();
	});
});

describe('configuration writer', () => {
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

	it('raises the generation only if the spec changes', async () => {
		expect(await writer.write('site', siteSpec(1), await writer.read('site'))).toMatchObject({generation: 1, result: 'created'});
		expect(await writer.write('site', siteSpec(2), await writer.read('site'))).toMatchObject({generation: 2, result: 'changed'});
		expect(await writer.write('site', siteSpec(2), await writer.read('site'))).toMatchObject({generation: 2, result: 'unchanged'});
	});

	it('stores one of three concurrent writes and reports a conflict to the other writers', async () => {
		const base = await writer.read('site');
		const results = await Promise.allSettled([1, 2, 3].map(async retryPot => writer.write('site', siteSpec(retryPot), base)));
		const rejected = results.filter(({status}) => status === 'rejected') as PromiseRejectedResult[];
		expect(rejected).toHaveLength(2);
		for (const {reason} of rejected) {
			expect(reason).toBeInstanceOf(ConflictError);
			expect(reason).toMatchObject({wanted: 1, found: 1});
		}
	});

	it('confirms a write whose response was lost by reading it back, without writing it twice', async () => {
		platform.faults.loseAnswers = 1;
		expect(await writer.write('site', siteSpec(1), await writer.read('site'))).toMatchObject({generation: 1, result: 'created'});
		expect(platform.counts.writes).toBe(1);
	});

	it('removes an object by writing a generation without a spec', async () => {
		await writer.write('site', siteSpec(1), await writer.read('site'));
		expect(await writer.write('site', undefined, await writer.read('site'))).toMatchObject({generation: 2, result: 'removed'});
	});

	it('fails with the status of the platform during an outage', async () => {
		platform.faults.outage = true;
		await expect(writer.read('site')).rejects.toMatchObject({status: 503});
	});

	it('fails reads above the rate limit of the platform', async () => {
		platform.close();
		platform = new PlatformStandIn({writes: 1, reads: 2});
		client = new PlatformClient(`http://${HOST}:${await platform.listen(HOST, 0)}`, 2000);
		const reads = await Promise.allSettled([1, 2, 3, 4].map(async () => client.list('')));
		expect(reads.filter(({status}) => status === 'rejected').length).toBeGreaterThan(0);
	});

	it('ends a watch at a change below its prefix, but not at other changes', async () => {
		const watch = client.watch('config/', 0, 5000, new AbortController().signal);
		await client.put('joins/a', {}, 0);
		await client.put('config/site', {a: 1}, 0);
		const {objects} = await watch;
		expect(objects.map(({key}) => key)).toEqual(['config/site']);
	});

	it('reports an answer of another shape as a PlatformError that names the request and the field', async () => {
		platform.close();
		const other = createServer((_request, response) => {
			response.end('{"version":"many"}');
		}).listen(0, HOST);
		await once(other, 'listening');
		client = new PlatformClient(`http://${HOST}:${(other.address() as AddressInfo).port}`, 2000);
		const calls = [client.list(''), client.get('a'), client.put('a', 1, 0), client.watch('', 0, 10, new AbortController().signal)];
		for (const result of await Promise.allSettled(calls)) {
			const {reason} = result as {readonly reason: unknown};
			expect(reason).toBeInstanceOf(PlatformError);
			expect((reason as Error).message).toMatch(/^(?:GET|PUT) \//v);
			expect((reason as Error).message).toContain('version: ');
		}

		other.close();
	});

	it('reports an unreachable platform as a PlatformError', async () => {
		platform.close();
		await expect(client.list('')).rejects.toBeInstanceOf(PlatformError);
	});
});
