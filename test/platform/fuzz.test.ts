import {type Server, createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import fc from 'fast-check';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {PlatformAdapter} from '../../platform/adapter.js';
import {STORE_EPOCH_HEADER} from '../../platform/names.js';
import {decodeSettings} from '../../platform/settings.js';
import {PlatformStore} from '../../platform/store.js';
import {ConfigError, parseConfiguration, parseSettings} from '../../src/config/index.js';
import {Site, TrafficSplitter} from '../../src/mesh/index.js';
import {DecodeError, StoreError} from '../../src/relay/index.js';

/** The seed and the number of inputs of each decoder; more with FUZZ_FRAMES by hand. */
const SEED = 7;
const RUNS = Number(process.env.FUZZ_FRAMES ?? 500);

const adapter = new PlatformAdapter('127.0.0.1:1');

const scalar = fc.constantFrom<unknown>(undefined, null, true, 0, -1, 1.5, 2 ** 53, 2 ** 60, 1e21, 1e308, -1e308, '', 'x', '__proto__', '10.0.0.1:80', '10.0.0.1:0', '10.0.0.1:83000', '10.0.0.1:1e3', '1e400', [], {});
const value = fc.oneof(scalar, fc.string(), fc.double({noNaN: true, noDefaultInfinity: true}), fc.array(scalar, {maxLength: 4}), fc.dictionary(fc.constantFrom('a', 'name', 'columns', '__proto__'), scalar), fc.jsonValue({maxDepth: 5}));

type Path = readonly string[];

function listPaths(node: unknown, path: Path = []): Path[] {
	const children = typeof node === 'object' && node !== null ? Object.entries(node).flatMap(([key, child]) => listPaths(child, [...path, key])) : [];
	return [path, ...children];
}

function replaceAt(node: unknown, [key, ...rest]: Path, replacement: unknown): unknown {
	if (key === undefined || typeof node !== 'object' || node === null) {
		return replacement;
	}

	const copy = (Array.isArray(node) ? [...node as unknown[]] : {...node}) as Record<string, unknown>;
	copy[key] = replaceAt(copy[key], rest, replacement);
	return copy;
}

/** The valid input with up to three of its parts missing or replaced by something else. */
function mutate(valid: unknown): fc.Arbitrary<unknown> {
	const change = fc.tuple(fc.constantFrom(...listPaths(valid)), value);
	return fc.array(change, {minLength: 1, maxLength: 3}).map(changes => {
		let changed = valid;
		for (const [path, replacement] of changes) {
			changed = replaceAt(changed, path, replacement);
		}

		return changed;
	});
}

const SITE = {
	version: 7,
	routes: {
		columns: ['name', 'host', 'path_prefix', 'kind', 'timeout_ms', 'target_latency_ms', 'priority', 'traffic_split', 'attempts', 'service', 'public'],
		rows: [
			['r1', 'a.example', '/x/', 'safe', 5000, 1200, 2, [{service: 's', weight: 90}, {service: 't', weight: 10}], 2, null, false],
			['r2', 'a.example', '/y/', 'unsafe', 800, 1500, 0, null, 2, 's', true],
		],
	},
	services: {columns: ['name', 'health_path', 'max_connections'], rows: [['s', '/health', 640]]},
	tenants: {columns: ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'], rows: [['acme', ['k1', 'k2'], 1, 221, 100]]},
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 1000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
};
const SETTINGS = {
	host: 'h', failureDomain: 'd', service: 's', target: '10.0.0.1:80', listen: {
		requests: '10.0.0.1:1', peers: '10.0.0.1:2', readiness: '10.0.0.1:3', announcements: '10.0.0.1:4', metrics: '10.0.0.1:5',
	}, seeds: ['10.0.0.2:2'], isFirstStart: true, announceIntervalMs: 1500, quarantineMs: 30_000, store: '10.0.0.9:1', bounds: {drain_ms: '2000', grace_s: '6'},
};
const HEARTBEAT = {
	address: '10.0.0.1:80', born: 5, info: {
		service: 's', version: 'v1', zone: 'z', slots: 9,
	}, status: {state: 'ready', seq: 1, warmup_left_ms: 0},
};
const OWN_SETTINGS = {
	id: 'a', region: 'r', failureDomain: 'd', listen: {host: '127.0.0.1', port: 1}, platform: {url: 'http://127.0.0.1:2', timeoutMs: 100}, siteKey: 'a-key-of-sixteen-characters', seeds: [{id: 'b', host: '127.0.0.1', port: 3}], log: {level: 'info'}, quarantineMs: 30_000,
};
const OWN_CONFIGURATION = {
	site: {
		classes: [{name: 'high', rank: 1}], retryPot: 1, retryRatio: 0.1, resendWindowMs: 1000, clockSkewMs: 1, epochMs: 1000,
	},
	services: {
		s: {
			operations: [{
				name: 'o', method: 'GET', path: '/', class: 'high', idempotent: true, budgetMs: 100, calls: [],
			}], queueTargetMs: 10, queueLimitMs: 20,
		},
	},
};

type Decoder = {readonly name: string; readonly valid: unknown; readonly decode: (value: unknown) => unknown};
const DECODERS: Decoder[] = [
	{
		name: 'site', valid: SITE, decode(input) {
			useSite(adapter.decodeSite(input));
		},
	},
	{name: 'version of a site', valid: SITE, decode: input => adapter.decodeSiteVersion(input)},
	{name: 'settings', valid: SETTINGS, decode: input => decodeSettings(JSON.stringify(input) ?? '')},
	{name: 'announcement', valid: HEARTBEAT, decode: input => adapter.decodeTargetMessage('POST', '/v1/rpc?call=instances.heartbeat&of=i-1', JSON.stringify(input) ?? '')},
	{name: 'own settings', valid: OWN_SETTINGS, decode: parseSettings},
	{name: 'own configuration', valid: OWN_CONFIGURATION, decode: parseConfiguration},
];

/** Does what a daemon does with a configuration and a request. */
function useSite(spec: ReturnType<typeof adapter.decodeSite>) {
	const site = new Site(1, spec);
	const splitter = new TrafficSplitter(() => 0.5);
	for (const path of ['/x/1', '/y/1', '/z']) {
		const route = site.routeTable.match('a.example', path);
		if (route !== undefined) {
			splitter.choose(route);
			site.rankOrder.rankOf(undefined, route.rank);
		}
	}
}

describe('a decoder of what an operator, a target or the platform writes', () => {
	it.each(DECODERS)('takes the valid input: $name', ({valid, decode}) => {
		decode(valid);
	});

	it.each(DECODERS)('refuses what is malformed by field and reason, and throws nothing else: $name', ({valid, decode}) => {
		fc.assert(fc.property(mutate(valid), input => {
			try {
				decode(input);
			} catch (error) {
				expect(error instanceof DecodeError || error instanceof ConfigError, `${(error as Error).name}: ${(error as Error).message}`).toBe(true);
				expect((error as Error).message).toMatch(/.: \S/v);
			}
		}), {seed: SEED, numRuns: RUNS, endOnFailure: true});
	});
});

describe('the client of the store', () => {
	let server: Server;
	let store: PlatformStore;
	let answer: {status: number; epoch: string | undefined; text: string};
	beforeAll(async () => {
		server = createServer((_request, response) => {
			response.writeHead(answer.status, answer.epoch === undefined ? {} : {[STORE_EPOCH_HEADER]: answer.epoch});
			response.end(answer.text);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		store = new PlatformStore(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	});
	afterAll(async () => {
		await store.close();
		server.close();
	});

	const OBJECT = {metadata: {name: 'main', revision: 3, created_rev: 1}, spec: {a: 1}, status: {}};
	const CALLS = [
		{name: 'list', valid: {items: [OBJECT], more: false, current_rev: 9}, call: async () => store.list('nodes', 'fresh')},
		{name: 'watch', valid: {events: [{object: OBJECT, deleted: false}], current_rev: 9}, call: async () => store.watch('nodes', 3, {waitMs: 10, freshness: 'stale'})},
		{name: 'get', valid: OBJECT, call: async () => store.get('nodes', 'main')},
		{name: 'put', valid: OBJECT, call: async () => store.put('nodes', 'main', {}, 3)},
	];
	it.each(CALLS)('ends with an error of its own on a malformed answer: $name', async ({valid, call}) => {
		const answers = fc.record({
			status: fc.constantFrom(200, 200, 200, 201, 204, 302, 404, 409, 410, 429, 500, 503, 599),
			epoch: fc.constantFrom(undefined, undefined, '0', '1', '-1', 'x', '1.5', ''),
			text: fc.oneof(mutate(valid).map(input => JSON.stringify(input) ?? ''), fc.string()),
		});
		await fc.assert(fc.asyncProperty(answers, async given => {
			// A list with more pages goes on until its end, which a server that repeats itself hasn't.
			answer = {...given, text: given.text.replace('"more":true', '"more":false')};
			try {
				await call();
			} catch (error) {
				expect(error instanceof DecodeError || error instanceof StoreError, `${(error as Error).name}: ${(error as Error).message}`).toBe(true);
			}
		}), {seed: SEED, numRuns: RUNS, endOnFailure: true});
	});
});
