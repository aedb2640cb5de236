import {
	type ConfigObject, type Member, DaemonCore, SITE_OBJECT_NAME, serviceObjectName,
} from '../../src/core/index.js';
import {Ledger} from '../../src/core/ledger.js';
import {PriorityQueue} from '../../src/core/priorityqueue.js';

const START_MS = 1_800_000_000_000;
const ROUNDS = 20_000;
const NANOS_PER_MS = 1_000_000;

// A daemon that knows `members` others in `services` services, with links up to
// the upstreams of the first service.
function nodeWith(members: number, services: number): {node: DaemonCore; nowMs: number} {
	let nowMs = START_MS;
	const node = new DaemonCore({
		id: 'self', address: 'self', region: 'r', failureDomain: 'd', seed: 1,
	}, nowMs);
	const config: ConfigObject[] = [{
		name: SITE_OBJECT_NAME,
		generation: 1,
		operationId: 'a',
		spec: {
			classes: [{name: 'low', rank: 0}], retryPot: 3, retryRatio: 0.1, resendWindowMs: 1000, clockSkewMs: 1, epochMs: 10_000,
		},
	}];
	for (let at = 0; at < services; at++) {
		config.push({
			name: serviceObjectName(`s${at}`), generation: 1, operationId: 'a', spec: {
				operations: [{
					name: 'get', method: 'GET', path: '/', class: 'low', idempotent: true, budgetMs: 1000, calls: [],
				}],
				queueTargetMs: 50,
				queueLimitMs: 200,
			},
		});
	}

	node.step({type: 'tick'}, nowMs);
	node.step({
		type: 'platform', reply: {
			op: 'load', ok: true, config, joins: [],
		},
	}, nowMs);
	const others: Member[] = Array.from({length: members}, (_, at) => ({
		id: `m${at}`, address: `m${at}`, region: 'r', failureDomain: `d${at % 8}`, incarnation: 1, status: 'alive', service: `s${at % services}`, slots: 10, connections: 10,
	}));
	node.step({
		type: 'frame', peer: 'm0', side: 'in', frame: {type: 'gossip', members: others, config: []},
	}, nowMs);
	nowMs += 2000;
	node.step({type: 'tick'}, nowMs);
	return {node, nowMs};
}

function nanosPerCall(members: number, services: number): number {
	const {node, nowMs} = nodeWith(members, services);
	for (const {id} of node.status().members) {
		node.step({
			type: 'request', id: 0, fromTarget: false, service: 's0', method: 'GET', path: '/', payload: {},
		}, nowMs);
		node.step({
			type: 'link', peer: id, side: 'out', up: true,
		}, nowMs);
	}

	const round = (id: number) => {
		const outputs = node.step({
			type: 'request', id, fromTarget: false, service: 's0', method: 'GET', path: '/', payload: {},
		}, nowMs);
		for (const output of outputs) {
			if (output.type === 'frame' && output.frame.type === 'call') {
				node.step({
					type: 'frame', peer: output.peer, side: 'out', frame: {
						type: 'answer', id: output.frame.id, answer: {outcome: 'complete', payload: {}}, tokens: 0, load: {outstanding: 1, limit: 10}, pressure: [],
					},
				}, nowMs);
			}
		}
	};

	return timed(round);
}

function timed(round: (at: number) => void): number {
	for (let at = 1; at <= ROUNDS; at++) {
		round(at);
	}

	const startMs = performance.now();
	for (let at = ROUNDS + 1; at <= 2 * ROUNDS; at++) {
		round(at);
	}

	return Math.round((performance.now() - startMs) * NANOS_PER_MS / ROUNDS);
}

function nanosPerKey(keys: number): number {
	const ledger = new Ledger(0, 1_000_000);
	for (let at = 0; at < keys; at++) {
		ledger.begin(`key${at}`, {attempt: 1, tie: 'a'}, 1e15);
	}

	return timed(at => {
		ledger.begin(`new${at}`, {attempt: 1, tie: 'a'}, 1e15);
		ledger.finish(`new${at}`, {outcome: 'not-run'});
	});
}

function nanosPerQueued(length: number): number {
	const queue = new PriorityQueue();
	for (let at = 0; at < length; at++) {
		queue.push({level: (at * 7919) % 1024});
	}

	return timed(at => {
		queue.push({level: (at * 104_729) % 1024});
		queue.pop();
	});
}

/** Prints what the core's decisions cost and how that grows. */
export function measureCore(): void {
	console.log('the core alone, ns');
	console.table([10, 100, 960].map(members => {
		const services = Math.min(130, members);
		const nanos = nanosPerCall(members, services);
		return {
			members, services, 'ns per call (route and answer)': nanos, 'calls/s on one core': Math.round(1e9 / nanos),
		};
	}));
	console.table([100, 10_000, 100_000].map(keys => ({'keys in the ledger': keys, 'ns to begin and end a key': nanosPerKey(keys)})));
	console.table([0, 100, 1000].map(length => ({'queue length': length, 'ns to queue and serve': nanosPerQueued(length)})));
}
