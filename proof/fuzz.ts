import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import process from 'node:process';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {
	ConfigError, configObjectSchema, generateConfiguration, joinRecordSchema, parseConfiguration,
} from '../src/config/index.js';
import {type ConfigObject, type JoinRecord, DaemonCore} from '../src/core/index.js';
import {MessageBus} from '../src/daemon/messagebus.js';
import {Endpoints} from '../src/daemon/endpoints.js';
import {RequestError} from '../src/daemon/requesterror.js';
import {parseRequestHead} from '../src/daemon/request.js';
import {FrameError, decodeFrame} from '../src/wire/index.js';
import {createExampleAnswers} from '../src/cli/questionnaire.js';

/** Inputs over all fuzzers. */
const INPUTS = 100_000;
const FUZZER_COUNT = 5;
/** A fuzzer whose heap grows by more than this reports a fault. */
const MAX_GROWTH_MB = 128;
const MB_BYTES = 1024 * 1024;
const HOST = '127.0.0.1';

type Fuzzer = {readonly name: string; readonly run: (seed: number, runs: number) => void};

function createCore(): DaemonCore {
	return new DaemonCore({
		id: 'a', address: 'a', region: 'r', failureDomain: 'd', seed: 1,
	}, 1);
}

// Generates objects that are almost valid: any field can be missing, and one value in nine is arbitrary.
const almostValid = (valid: Record<string, fc.Arbitrary<unknown>>): fc.Arbitrary<Record<string, unknown>> =>
	fc.record(Object.fromEntries(Object.entries(valid).map(([field, arbitrary]) => [field, fc.oneof({weight: 8, arbitrary}, {weight: 1, arbitrary: fc.anything()})])), {requiredKeys: []});

const member = almostValid({
	id: fc.string(),
	address: fc.string(),
	region: fc.string(),
	failureDomain: fc.string(),
	incarnation: fc.nat(),
	status: fc.constantFrom('alive', 'suspect', 'leaving', 'left', 'dead'),
	slots: fc.nat(),
	connections: fc.nat(),
});
const load = almostValid({outstanding: fc.nat(), limit: fc.nat()});
const message = almostValid({headers: fc.array(fc.string()), body: fc.uint8Array({maxLength: 20})});
const ballot = almostValid({attempt: fc.nat(), tie: fc.string()});
const frame = almostValid({
	type: fc.constantFrom('call', 'answer', 'cancel', 'fence', 'vouch', 'heartbeat', 'gossip', 'sync'),
	id: fc.nat(),
	call: almostValid({
		service: fc.string(),
		operation: fc.string(),
		className: fc.string(),
		level: fc.nat(9000),
		floor: fc.nat(9000),
		root: fc.string(),
		idempotent: fc.boolean(),
		budgetMs: fc.integer(),
		tokens: fc.nat(),
		key: fc.string(),
		ballot,
		keepMs: fc.nat(),
		payload: message,
	}),
	answer: almostValid({outcome: fc.constantFrom('complete', 'not-run', 'unknown'), reason: fc.string(), payload: message}),
	tokens: fc.nat(),
	load,
	pressure: fc.array(almostValid({
		service: fc.string(), upstream: fc.string(), floor: fc.nat(9000), ageMs: fc.nat(),
	}), {maxLength: 3}),
	key: fc.string(),
	ballot,
	madeAfterMs: fc.integer(),
	keepMs: fc.nat(),
	vouch: almostValid({verdict: fc.constantFrom('fenced', 'running', 'done')}),
	upstreams: fc.array(member, {maxLength: 3}),
	answered: fc.boolean(),
	members: fc.oneof(fc.nat(), fc.array(member, {maxLength: 3}), fc.array(fc.tuple(fc.string(), fc.nat()), {maxLength: 3})),
	config: fc.oneof(fc.nat(), fc.array(almostValid({name: fc.string(), generation: fc.nat(), operationId: fc.string()}), {maxLength: 3}), fc.array(fc.tuple(fc.string(), fc.nat()), {maxLength: 3})),
	reply: fc.boolean(),
});

function fuzzFrames(seed: number, runs: number): void {
	const packr = new Packr({useRecords: false});
	const bytes = fc.oneof(fc.uint8Array({maxLength: 100}), frame.map(value => packOrEmpty(packr, value)));
	let core = createCore();
	let nowMs = 1;
	fc.assert(fc.property(bytes, fc.constantFrom<'in' | 'out'>('in', 'out'), (data, side) => {
		nowMs += 7;
		if (nowMs % 700 === 1) {
			core = createCore();
		}

		try {
			core.step({
				type: 'frame', peer: 'p', side, frame: decodeFrame(data),
			}, nowMs);
			core.step({type: 'tick'}, nowMs);
		} catch (error) {
			if (!(error instanceof FrameError)) {
				throw error;
			}
		}
	}), {seed, numRuns: runs});
}

function packOrEmpty(packr: Packr, value: unknown): Uint8Array {
	try {
		return packr.pack(value);
	} catch {
		return new Uint8Array();
	}
}

function fuzzHeads(seed: number, runs: number): void {
	const names = fc.constantFrom('comfreydyke-context', 'comfreydyke-budget-ms', 'idempotency-key', 'idempotency-attempt', 'x');
	const headers = fc.array(fc.tuple(names, fc.oneof(fc.string(), fc.integer().map(String))), {maxLength: 5});
	fc.assert(fc.property(fc.oneof(fc.string(), fc.webPath()), headers, (url, pairs) => {
		const request = {
			url, method: 'GET', headers: Object.fromEntries(pairs), rawHeaders: pairs.flat(),
		};
		try {
			parseRequestHead(request as unknown as IncomingMessage);
		} catch (error) {
			if (!(error instanceof RequestError)) {
				throw error;
			}
		}
	}), {seed, numRuns: runs});
}

function fuzzConfiguration(seed: number, runs: number): void {
	const valid = generateConfiguration(createExampleAnswers());
	const parts = almostValid({
		site: almostValid(Object.fromEntries(Object.entries(valid.site).map(([field, value]) => [field, fc.constant(value)]))),
		services: fc.dictionary(fc.string(), almostValid({operations: fc.constant(valid.services.orders.operations), queueTargetMs: fc.nat(), queueLimitMs: fc.nat()}), {maxKeys: 2}),
	});
	fc.assert(fc.property(fc.oneof(parts, fc.anything()), value => {
		try {
			parseConfiguration(value);
		} catch (error) {
			if (!(error instanceof ConfigError)) {
				throw error;
			}
		}
	}), {seed, numRuns: runs});
}

function fuzzAnnouncements(seed: number, runs: number): void {
	const endpoints = new Endpoints({
		bus: new MessageBus(),
		host: HOST,
		status: () => createCore().status(),
		explain: question => createCore().explain(question),
		onTargetAnnounced: () => undefined,
	});
	const body = fc.oneof(fc.string(), almostValid({
		service: fc.constant('s'), port: fc.nat(70_000), slots: fc.nat(), connections: fc.nat(),
	}).map(value => toJson(value)));
	fc.assert(fc.property(body, content => {
		let status = 0;
		const response = {
			writeHead(code: number) {
				status = code;
			},
			end: () => undefined,
		};
		const request = {method: 'PUT', url: '/_comfreydyke/target', socket: {remoteAddress: HOST}};
		endpoints.handle(request as unknown as IncomingMessage, Buffer.from(content), response as unknown as ServerResponse);
		if (status !== 200 && status !== 400) {
			throw new Error(`announcement answered with status ${status}, expected 200 or 400`);
		}
	}), {seed, numRuns: runs});
}

function toJson(value: unknown): string {
	try {
		return JSON.stringify(value) ?? '';
	} catch {
		return '';
	}
}

function fuzzPlatform(seed: number, runs: number): void {
	const valid = generateConfiguration(createExampleAnswers());
	const object = almostValid({
		name: fc.constantFrom('site', 'service/orders', 'other'), generation: fc.nat(), operationId: fc.string(), spec: fc.constantFrom(valid.site, valid.services.orders, undefined),
	});
	const join = almostValid({id: fc.string(), address: fc.string(), startMs: fc.nat()});
	const core = createCore();
	let nowMs = 1;
	fc.assert(fc.property(fc.array(object, {maxLength: 3}), fc.array(join, {maxLength: 3}), (objects, joins) => {
		const config = objects.filter(one => configObjectSchema.safeParse(one).success) as ConfigObject[];
		const records = joins.filter(one => joinRecordSchema.safeParse(one).success) as JoinRecord[];
		nowMs += 10;
		core.step({
			type: 'platform', reply: {
				op: 'load', ok: true, config, joins: records,
			},
		}, nowMs);
		core.step({type: 'tick'}, nowMs);
		core.step({
			type: 'request', id: nowMs, fromTarget: false, service: 'orders', method: 'GET', path: '/status', budgetMs: 5, payload: {},
		}, nowMs);
	}), {seed, numRuns: runs});
}

const FUZZERS: readonly Fuzzer[] = [
	{name: 'frames', run: fuzzFrames},
	{name: 'headers', run: fuzzHeads},
	{name: 'configuration', run: fuzzConfiguration},
	{name: 'announcements', run: fuzzAnnouncements},
	{name: 'platform answers', run: fuzzPlatform},
];

/**
 * Feeds generated input to every parser of outside data and prints a line for each fuzzer.
 * @returns the number of faults: unexpected exceptions and excessive heap growth
 */
export function fuzz(seed: number, inputs = INPUTS): number {
	let faults = 0;
	for (const {name, run} of FUZZERS) {
		const heapBeforeBytes = process.memoryUsage().heapUsed;
		let fault = 'no fault';
		try {
			run(seed, inputs / FUZZER_COUNT);
		} catch (error) {
			faults++;
			fault = (error as Error).message;
		}

		const growthMb = (process.memoryUsage().heapUsed - heapBeforeBytes) / MB_BYTES;
		if (growthMb > MAX_GROWTH_MB) {
			faults++;
			fault = `the heap grew by ${growthMb.toFixed(0)} MB`;
		}

		console.log(`fuzz | ${name} | ${inputs / FUZZER_COUNT} inputs | ${fault}`);
	}

	return faults;
}
