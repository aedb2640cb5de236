import {
	type ConfigObject, type Member, DaemonCore, SITE_OBJECT_NAME, serviceObjectName,
} from '../../src/core/index.js';
import {Ledger} from '../../src/core/ledger.js';
import {PriorityQueue} from '../../src/core/priorityqueue.js';

const START_MS = 1_800_000_000_000;
/** Rounds of the warm-up, and again of the timed phase. */
const ROUNDS_PER_PHASE = 20_000;
const NANOS_PER_MS = 1_000_000;

// Creates a core that knows `members` other daemons, spread over `services` services.
function createCore(members: number, services: number): {core: DaemonCore; nowMs: number} {
	let nowMs = START_MS;
	const core = new DaemonCore({
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

	core.step({type: 'tick'}, nowMs);
	core.step({
		type: 'platform', reply: {
			op: 'load', ok: true, config, joins: [],
		},
	}, nowMs);
	const others: Member[] = Array.from({length: members}, (_, at) => ({
		id: `m${at}`, address: `m${at}`, region: 'r', failureDomain: `d${at % 8}`, incarnation: 1, status: 'alive', service: `s${at % services}`, slots: 10, connections: 10,
	}));
	core.step({
		type: 'frame', peer: 'm0', side: 'in', frame: {type: 'gossip', members: others, config: []},
	}, nowMs);
	nowMs += 2000;
	core.step({type: 'tick'}, nowMs);
	return {core, nowMs};
}

function measureCallNanos(members: number, services: number): number {
	const {core, nowMs} = createCore(members, services);
	for (const {id} of core.status().members) {
		core.step({
			type: 'request', id: 0, fromTarget: false, service: 's0', method: 'GET', path: '/', payload: {},
		}, nowMs);
		core.step({
			type: 'link', peer: id, side: 'out', up: true,
		}, nowMs);
	}

	const runRound = (id: number) => {
		const outputs = core.step({
			type: 'request', id, fromTarget: false, service: 's0', method: 'GET', path: '/', payload: {},
		}, nowMs);
		for (const output of outputs) {
			if (output.type === 'frame' && output.frame.type === 'call') {
				core.step({
					type: 'frame', peer: output.peer, side: 'out', frame: {
						type: 'answer', id: output.frame.id, answer: {outcome: 'complete', payload: {}}, tokens: 0, load: {outstanding: 1, limit: 10}, pressure: [],
					},
				}, nowMs);
			}
		}
	};

	return measureNanosPerRound(runRound);
}

function measureNanosPerRound(runRound: (at: number) => void): number {
	for (let at = 1; at <= ROUNDS_PER_PHASE; at++) {
		runRound(at);
	}

	const startMs = performance.now();
	for (let at = ROUNDS_PER_PHASE + 1; at <= 2 * ROUNDS_PER_PHASE; at++) {
		runRound(at);
	}

	return Math.round((performance.now() - startMs) * NANOS_PER_MS / ROUNDS_PER_PHASE);
}

function measureKeyNanos(keys: number): number {
	const ledger = new Ledger(0, 1_000_000);
	for (let at = 0; at < keys; at++) {
		ledger.begin(`key${at}`, {attempt: 1, tie: 'a'}, 1e15);
	}

	return measureNanosPerRound(at => {
		ledger.begin(`new${at}`, {attempt: 1, tie: 'a'}, 1e15);
		ledger.finish(`new${at}`, {outcome: 'not-run'});
	});
}

function measureQueueNanos(length: number): number {
	const queue = new PriorityQueue();
	for (let at = 0; at < length; at++) {
		queue.push({level: (at * 7919) % 1024});
	}

	return measureNanosPerRound(at => {
		queue.push({level: (at * 104_729) % 1024});
		queue.pop();
	});
}

/** Prints the time that decisions of the core take, and how it grows with members, keys and queue length. */
export function measureCore(): void {
	console.log('the core alone, ns');
	console.table([10, 100, 960].map(members => {
		const services = Math.min(130, members);
		const nanos = measureCallNanos(members, services);
		return {
			members, services, 'ns per call (route and answer)': nanos, 'calls/s on one core': Math.round(1e9 / nanos),
		};
	}));
	console.table([100, 10_000, 100_000].map(keys => ({'keys in the ledger': keys, 'ns to begin and end a key': measureKeyNanos(keys)})));
	console.table([0, 100, 1000].map(length => ({'queue length': length, 'ns to queue and serve': measureQueueNanos(length)})));
}
