import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Random} from '../fakes/index.js';
import {meshHeaders} from '../standins/meshadapter.js';
import {type SentRequest} from './callers.js';
import {type FleetHost} from './fleet.js';
import {PipelinedConnection, type PipelinedOutcome} from './pipelining.js';
import {mixSeed} from './plan.js';
import {TRANSFERS, transfer} from './transfers.js';
import {PIPELINED_PREFIX, encodeWork} from './work.js';

/** How long these requests may take, in ms: beyond the end of the grace period for those that come late in it. */
const LONG_DEADLINE_MS = 4500;
const CONNECTIONS_PER_HOST = 2;
/** The mean pause between what is sent at once on a connection: of some connections there is always an answer due. */
const MEAN_PAUSES_MS = [80, 400];
const MAX_AT_ONCE = 4;
const MAX_PENDING = 12;
const PIPELINED_WORK_MS = [5, 5, 20, 100, 400];
/** Most answers come whole; the largest is streamed. */
const PIPELINED_BYTES = [10, 10, 2000, 20_000, 90_000];
const TRANSFERS_PER_S: ReadonlyArray<[name: string, perS: number]> = [['upload', 5], ['stream', 3], ['reader', 1.5]];
/** How long hesitant clients wait with a new connection before the first byte, and with a begun head before the rest, in ms: some for longer than a head may take. */
const SILENT_MS = [0, 0, 300, 700, 1000, 1500];
const HALF_HEAD_MS = [20, 300, 700, 1000, 1500];
const MEAN_HESITANT_PAUSE_MS = 150;
const MAX_FIRST_BYTES = 100;
/** Longer than any deadline and any freeze. */
const MAX_WAIT_MS = 8000;
const CHECK_INTERVAL_MS = 100;

/** Clients whose connections matter: with several requests at a time on kept ones, until these are closed, and with bodies that take their time. */
export class ConnectionCallers {
	readonly #hosts: readonly FleetHost[];
	readonly #seed: number;
	readonly #requests: SentRequest[];
	readonly #agent = new Agent({keepAlive: true});
	readonly #running: Array<Promise<void>> = [];
	readonly #open = new Set<Promise<void>>();
	#isEnded = false;

	/** @param requests where the requests are added when they have ended */
	constructor(hosts: readonly FleetHost[], seed: number, requests: SentRequest[]) {
		this.#hosts = hosts;
		this.#seed = seed;
		this.#requests = requests;
	}

	start(): void {
		for (const host of this.#hosts) {
			for (let index = 0; index < CONNECTIONS_PER_HOST; index++) {
				this.#running.push(this.#pipeline(host, `pipelined-${host.index}-${index}`));
			}

			this.#running.push(this.#hesitate(host, `hesitant-${host.index}`));
		}

		for (const [name, perS] of TRANSFERS_PER_S) {
			this.#running.push(this.#transfer(name, perS));
		}
	}

	/** Sends nothing more, and waits for the answers. */
	async end(): Promise<void> {
		this.#isEnded = true;
		await Promise.all(this.#running);
		await Promise.all(this.#open);
		this.#agent.destroy();
	}

	/** Sends on one connection after the other: on each until it is closed or an answer says that it will be, a stop or not. */
	async #pipeline(host: FleetHost, name: string): Promise<void> {
		const random = new Random(mixSeed(`${this.#seed} ${name}`));
		const meanPauseMs = random.pick(MEAN_PAUSES_MS);
		const connections: PipelinedConnection[] = [];
		for (let dueMs = Date.now(), sent = 0; !this.#isEnded;) {
			dueMs += random.exponential(meanPauseMs);
			const batch = Array.from({length: 1 + random.below(MAX_AT_ONCE)}, () => ({
				attemptId: `${name}-${sent++}`,
				path: encodeWork(PIPELINED_PREFIX, {
					workMs: random.pick(PIPELINED_WORK_MS), chunks: 1, chunkBytes: random.pick(PIPELINED_BYTES), pauseMs: 0, hasLength: true,
				}),
			}));
			// eslint-disable-next-line no-await-in-loop -- the requests are spread over the time
			await sleep(Math.max(0, dueMs - Date.now()));
			closeUnanswered(connections);
			let connection = connections.at(-1);
			if (connection?.isUsable !== true && host.isOffered) {
				connection = new PipelinedConnection(host.ports[0], LONG_DEADLINE_MS, outcome => {
					this.#record(name, host, outcome);
				});
				connections.push(connection);
			}

			if (connection?.isUsable === true && connection.pendingRequests < MAX_PENDING) {
				connection.send(batch);
			}
		}

		await closeAnswered(connections);
	}

	/** Sends one or two requests on each of many new connections, on some only after a while, and with a pause within the first head. */
	async #hesitate(host: FleetHost, name: string): Promise<void> {
		const random = new Random(mixSeed(`${this.#seed} ${name}`));
		const connections: PipelinedConnection[] = [];
		const delayed: Array<Promise<void>> = [];
		for (let dueMs = Date.now(), sent = 0; !this.#isEnded;) {
			dueMs += random.exponential(MEAN_HESITANT_PAUSE_MS);
			const [silentMs, pauseMs, firstBytes] = [random.pick(SILENT_MS), random.pick(HALF_HEAD_MS), 1 + random.below(MAX_FIRST_BYTES)];
			const requests = Array.from({length: 1 + random.below(2)}, () => ({
				attemptId: `${name}-${sent++}`, path: encodeWork(PIPELINED_PREFIX, {
					workMs: random.pick(PIPELINED_WORK_MS), chunks: 1, chunkBytes: PIPELINED_BYTES[0], pauseMs: 0, hasLength: true,
				}),
			}));
			// eslint-disable-next-line no-await-in-loop -- the connections are spread over the time
			await sleep(Math.max(0, dueMs - Date.now()));
			if (host.isOffered) {
				const connection = new PipelinedConnection(host.ports[0], LONG_DEADLINE_MS, outcome => {
					this.#record('hesitant', host, outcome);
				});
				connections.push(connection);
				delayed.push(sleep(silentMs).then(() => {
					if (connection.isUsable) {
						connection.send(requests, firstBytes, pauseMs);
					}
				}));
			}
		}

		await Promise.all(delayed);
		await closeAnswered(connections);
	}

	async #transfer(name: string, perS: number): Promise<void> {
		const random = new Random(mixSeed(`${this.#seed} ${name}`));
		for (let dueMs = Date.now(), index = 0; !this.#isEnded; index++) {
			dueMs += random.exponential(1000 / perS);
			const host = random.pick(this.#hosts);
			const created = TRANSFERS[name](random);
			const agent = random.chance(0.5) ? this.#agent : false;
			// eslint-disable-next-line no-await-in-loop -- the requests are spread over the time
			await sleep(Math.max(0, dueMs - Date.now()));
			if (host.isOffered && !this.#isEnded) {
				const sentMs = Date.now();
				const attemptId = `${name}-${index}`;
				const ended = transfer(created, {
					port: host.ports[0], attemptId, deadlineMs: LONG_DEADLINE_MS, agent,
				}).then(outcome => {
					this.#requests.push({
						attemptId, stream: name, path: created.path, key: undefined, host: host.index, deadlineMs: LONG_DEADLINE_MS, sentMs, endedMs: Date.now(), retryAfter: undefined, ...outcome,
					});
				});
				this.#open.add(ended);
				void ended.then(() => this.#open.delete(ended));
			}
		}
	}

	#record(stream: string, host: FleetHost, {headers, ...outcome}: PipelinedOutcome): void {
		this.#requests.push({
			...outcome, stream, key: undefined, host: host.index, deadlineMs: LONG_DEADLINE_MS, endedMs: Date.now(), isNotRun: headers.has(meshHeaders.notRun), answeredAttemptId: headers.get(meshHeaders.attemptId), retryAfter: headers.get('retry-after'), isSigned: headers.has(meshHeaders.signature),
		});
	}
}

/** Waits for the answers that are due on connections, and closes these. */
async function closeAnswered(connections: readonly PipelinedConnection[]): Promise<void> {
	while (connections.some(({pendingRequests}) => pendingRequests > 0)) {
		// eslint-disable-next-line no-await-in-loop -- waits for the answers
		await sleep(CHECK_INTERVAL_MS);
		closeUnanswered(connections);
	}

	for (const connection of connections) {
		connection.close('end of the run');
	}
}

function closeUnanswered(connections: readonly PipelinedConnection[]): void {
	for (const connection of connections) {
		if (connection.waitedMs > MAX_WAIT_MS) {
			connection.close('no answer in time');
		}
	}
}
