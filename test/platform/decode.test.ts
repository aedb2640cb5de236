import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PlatformAdapter} from '../../platform/adapter.js';
import {HEADER_NAMES} from '../../platform/names.js';
import {decodeSettings} from '../../platform/settings.js';
import {DecodeError} from '../../src/relay/index.js';

const adapter = new PlatformAdapter('127.0.0.1:1');
const HEARTBEAT = '/v1/rpc?call=instances.heartbeat&of=i-1';
const heartbeatBody = (more: object = {}) => JSON.stringify({
	address: '10.0.0.1:80', born: 5, info: {
		service: 's', version: 'v1', zone: 'z', slots: 9,
	}, status: {state: 'ready', seq: 1, warmup_left_ms: 0}, ...more,
});
const spec = {
	version: 7,
	routes: {
		columns: ['name', 'host', 'path_prefix', 'kind', 'timeout_ms', 'target_latency_ms', 'priority', 'traffic_split', 'attempts', 'service'],
		rows: [
			['r1', 'a.example', '/x/', 'safe', 5000, 1200, 2, [{service: 's', weight: 90}, {service: 't', weight: 10}], 2, null],
			['r2', 'a.example', '/y/', 'unsafe', 800, 1500, 0, null, 2, 's'],
		],
	},
	services: {columns: ['name', 'health_path', 'max_connections', 'protocol', 'tls'], rows: [['s', '/health', 640, 'h1', false]]},
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 1000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
};

describe('decoding the site configuration', () => {
	it('maps the columns and rows of its tables to routes and services', () => {
		const {version, routes, services, limits} = adapter.decodeSite(spec);
		expect([version, services[0].maxConnections, limits.idleTimeoutMs]).toEqual([7, 640, 15_000]);
		expect(routes[0].destinations).toEqual([{service: 's', weight: 90}, {service: 't', weight: 10}]);
		expect(routes[1]).toMatchObject({
			repeatability: 'unsafe', timeoutMs: 800, objectiveMs: 1500, rank: 0, destinations: [{service: 's', weight: 1}],
		});
	});

	it('fails with an error that names the invalid field', () => {
		expect(() => adapter.decodeSite({...spec, limits: {}})).toThrow('limits.max_header_bytes');
		expect(() => adapter.decodeSite({...spec, routes: {columns: ['name'], rows: [['r']]}})).toThrow(/host/v);
	});
});

describe('decoding the organisations', () => {
	const columns = ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'];
	const decodeRows = (...rows: unknown[][]) => adapter.decodeSite({...spec, tenants: {columns, rows}}).organisations;

	it('maps the rows of its table, in which 0 and null stand for no limit', () => {
		expect(decodeRows(['acme', ['k1', 'k2'], 1, 221, 100], ['bolt', [], null, 0, null], ['core', ['k3'], null, null, 3])).toEqual([
			{
				name: 'acme', keys: ['k1', 'k2'], rank: 1, ratePerS: 221, burst: 100,
			},
			{name: 'bolt', keys: [], burst: 0},
			{name: 'core', keys: ['k3'], burst: 3},
		]);
		expect(adapter.decodeSite(spec).organisations).toBeUndefined();
	});

	it.each([
		['a missing name', [[null, ['k1'], 1, 5, 5]], 'tenants.0.name'],
		['a negative limit', [['acme', ['k1'], 1, 5, 5], ['bolt', ['k2'], 1, -1, 5]], 'tenants.1.rate_per_s'],
		['keys that aren\'t text', [['acme', [7], 1, 5, 5]], 'tenants.0.api_keys.0'],
		['a name that stands twice', [['acme', ['k1'], 1, 5, 5], ['acme', ['k2'], 1, 5, 5]], 'the name acme stands twice'],
		['a key that two hold', [['acme', ['k1'], 1, 5, 5], ['bolt', ['k1'], 1, 5, 5]], 'held by acme and bolt'],
	])('rejects %s and names field and reason, but no key', (_name, rows, message) => {
		expect(() => decodeRows(...rows)).toThrow(message);
		expect(() => decodeRows(...rows)).not.toThrow(/k1/v);
	});
});

describe('decoding a target message', () => {
	it('tells an announcement from a deregistration', () => {
		expect(adapter.decodeTargetMessage('POST', HEARTBEAT, heartbeatBody())).toMatchObject({announcement: {id: 'i-1', bornMs: 5, slots: 9}});
		expect(adapter.decodeTargetMessage('POST', '/v1/rpc?call=instances.deregister&of=i-1', '')).toEqual({type: 'farewell', farewell: {id: 'i-1', bornMs: undefined}});
	});

	it.each([
		['an unknown state', heartbeatBody({status: {state: 'odd', seq: 1, warmup_left_ms: 0}}), 'status.state'],
		['a field of the wrong type', heartbeatBody({born: '5'}), 'born'],
		['a missing field', heartbeatBody({info: {}}), 'info.service'],
		['a body that is not JSON', '{', 'body: expected valid JSON'],
	])('rejects %s and names the field', (_name, body, message) => {
		expect(() => adapter.decodeTargetMessage('POST', HEARTBEAT, body)).toThrow(message);
	});

	// Guards against numbers that no later start exceeds, and targets that seem to have room for all calls.
	it.each([1e308, Number.MAX_SAFE_INTEGER, 2 ** 44, -1, 1.5])('rejects %s as a start', born => {
		expect(() => adapter.decodeTargetMessage('POST', HEARTBEAT, heartbeatBody({born}))).toThrow('born');
		expect(() => adapter.decodeTargetMessage('POST', '/v1/rpc?call=instances.deregister&of=i-1', JSON.stringify({born}))).toThrow('born');
	});

	it.each([1e308, Number.MAX_SAFE_INTEGER, 100_001, 0, -1, 1.5])('rejects %s as a number of slots', slots => {
		expect(() => adapter.decodeTargetMessage('POST', HEARTBEAT, heartbeatBody({
			info: {
				service: 's', version: 'v1', zone: 'z', slots,
			},
		}))).toThrow('info.slots');
		expect(adapter.parseSlots(`1,0,${slots}`)).toBeUndefined();
	});

	it('throws nothing but DecodeError, whatever the path and body', () => {
		fc.assert(fc.property(fc.webPath(), fc.oneof(fc.string(), fc.json()), (target, body) => {
			try {
				adapter.decodeTargetMessage('POST', target, body);
			} catch (error) {
				expect(error).toBeInstanceOf(DecodeError);
			}
		}), {seed: 1, numRuns: 500});
	});
});

describe('decoding the settings', () => {
	const settings = {
		host: 'h', failureDomain: 'z', service: 's', target: '10.0.0.1:1', listen: {
			requests: '10.0.0.1:2', peers: '10.0.0.1:3', readiness: '10.0.0.1:4', announcements: '10.0.0.1:5', metrics: '10.0.0.1:6',
		}, seeds: [], isFirstStart: true, announceIntervalMs: 1500, store: '10.0.0.9:6', bounds: {drain_ms: 2500, grace_s: 6, drain_whole: true},
	};

	it('takes limits from the bounds and converts them to ms', () => {
		const {relay, storeAddress} = decodeSettings(JSON.stringify(settings));
		expect([relay.drainMs, relay.graceMs, relay.listen.peers.port, storeAddress]).toEqual([2500, 6000, 3, '10.0.0.9:6']);
	});

	it('fails with an error that names the invalid field', () => {
		expect(() => decodeSettings('{"host":')).toThrow(DecodeError);
		expect(() => decodeSettings(JSON.stringify({...settings, target: 'nowhere'}))).toThrow('target: expected IP:PORT');
	});
});

describe('the platform folder', () => {
	const sources = (folder: string) => readdirSync(folder, {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts')).map(file => readFileSync(path.join(folder, file), 'utf8'));

	it('stays below 600 lines, so that the adapter remains a thin layer', () => {
		expect(sources('platform').reduce((lines, text) => lines + text.split('\n').length, 0)).toBeLessThan(600);
	});

	it('keeps the platform\'s header, field and path names out of src', () => {
		const names = [...Object.values(HEADER_NAMES), 'path_prefix', 'traffic_split', 'target_latency_ms', 'warmup_left_ms', '/v1/', 'wait_ms', 'current_rev', 'instances.'];
		const found = sources('src').flatMap(text => names.filter(name => text.includes(name)));
		expect(found).toEqual([]);
	});
});
