import {Buffer} from 'node:buffer';
import {Agent, request as httpRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Random} from '../fakes/index.js';
import {createAttemptHeaders, meshHeaders} from '../standins/meshadapter.js';
import {type FleetHost} from './fleet.js';
import {DEADLY_PATH} from './plan.js';
import {PLAIN_BODY} from './target.js';

/** What a caller sent and saw. `status` is 0 if there was no answer; times in ms since 1970. */
export type SentRequest = {
	readonly attemptId: string;
	readonly stream: string;
	readonly path: string;
	readonly key: string | undefined;
	readonly host: number;
	readonly sentMs: number;
	readonly endedMs: number;
	readonly status: number;
	/** Why there was no answer. */
	readonly error?: string;
	readonly isWhole: boolean;
	readonly isNotRun: boolean;
	readonly answeredAttemptId: string | undefined;
	readonly retryAfter: string | undefined;
	/** Whether it was sent on a connection that had carried requests before. */
	readonly isOnUsedConnection: boolean;
	/** The time that it allows for its answer, in ms. */
	readonly deadlineMs: number;
	/** When its last byte was sent; undefined if it never was. */
	readonly lastByteMs: number | undefined;
	/** Whether the answer is a target's. */
	readonly isSigned: boolean;
	/** Whether the answer, as far as it came, is the right one. */
	readonly isRight: boolean;
	/** The digest of the body that was sent, or was to be. */
	readonly bodyDigest?: string;
	/** Only of a request on a connection that is used until it is closed: whether answers before it were due then, or closed it. */
	readonly isBehind?: boolean;
};

/** Requests of one kind of client, at a rate. */
type Stream = {readonly name: string; readonly keys: ReadonlyArray<string | undefined>; readonly perS: number; readonly paths: readonly string[]};

const SMALL_PER_S = 8;
const PATHS = ['/orders/', '/read/', '/page/'];
const keysOf = (name: string) => [`key-${name}-0`, `key-${name}-1`];

/** The name of the stream that heat concerns. */
export const HOT_STREAM = 'hot';
export const STREAMS: readonly Stream[] = [
	{
		name: 'limited', keys: keysOf('limited'), perS: 40, paths: ['/read/'],
	},
	{
		name: HOT_STREAM, keys: keysOf('hot'), perS: 30, paths: ['/orders/'],
	},
	...['small-a', 'small-b'].map(name => ({
		name, keys: keysOf(name), perS: SMALL_PER_S, paths: PATHS,
	})),
	{
		name: 'unknown', keys: ['nobody-s-key', undefined], perS: 5, paths: PATHS,
	},
	{
		name: 'deadly', keys: ['key-spare-0'], perS: 4, paths: [DEADLY_PATH],
	},
	{
		name: 'public', keys: [undefined], perS: 3, paths: ['/open/'],
	},
];

/** How long a caller waits for an answer: longer than any deadline and any freeze. */
const MAX_WAIT_MS = 8000;
const DEADLINE_MS = 1500;

/** Sends requests of all streams to the daemons that are offered, and records what came back. */
export class Callers {
	/** Factor on the rate of the hot stream. */
	heat = 1;
	readonly requests: SentRequest[] = [];
	readonly #hosts: readonly FleetHost[];
	readonly #agent = new Agent({keepAlive: true});
	readonly #open = new Set<Promise<void>>();
	readonly #seed: number;
	#isEnded = false;

	constructor(hosts: readonly FleetHost[], seed: number) {
		this.#hosts = hosts;
		this.#seed = seed;
	}

	start(): void {
		for (const [index, stream] of STREAMS.entries()) {
			void this.#run(stream, new Random((this.#seed * STREAMS.length) + index));
		}
	}

	/** Sends nothing more, and waits for the answers. */
	async end(): Promise<void> {
		this.#isEnded = true;
		await Promise.all(this.#open);
		this.#agent.destroy();
	}

	async #run({name, keys, perS, paths}: Stream, random: Random): Promise<void> {
		let dueMs = Date.now();
		for (let index = 0; !this.#isEnded; index++) {
			dueMs += random.exponential(1000 / (perS * (name === HOT_STREAM ? this.heat : 1)));
			// eslint-disable-next-line no-await-in-loop -- the requests are spread over the time
			await sleep(Math.max(0, dueMs - Date.now()));
			const host = random.pick(this.#hosts);
			const head = {attemptId: `${name}-${index}`, key: random.pick(keys), path: random.pick(paths)};
			const isKeptAlive = random.chance(0.5);
			if (host.isOffered && !this.#isEnded) {
				const sent = this.#send(name, host, head, isKeptAlive);
				this.#open.add(sent);
				void sent.then(() => this.#open.delete(sent));
			}
		}
	}

	async #send(stream: string, host: FleetHost, {attemptId, key, path}: {attemptId: string; key: string | undefined; path: string}, isKeptAlive: boolean): Promise<void> {
		const sentMs = Date.now();
		await new Promise<void>(resolve => {
			const headers = {...createAttemptHeaders(attemptId, DEADLINE_MS), [meshHeaders.organisation]: 'forged', ...(key !== undefined && {authorization: `Bearer ${key}`})};
			const end = (seen: Pick<SentRequest, 'status' | 'isWhole'> & Partial<SentRequest>) => {
				this.requests.push({
					attemptId, stream, path, key, host: host.index, sentMs, endedMs: Date.now(), isNotRun: false, answeredAttemptId: undefined, retryAfter: undefined, isOnUsedConnection: request.reusedSocket, deadlineMs: DEADLINE_MS, lastByteMs: sentMs, isSigned: false, isRight: true, ...seen,
				});
				resolve();
			};

			const request = httpRequest({
				host: '127.0.0.1', port: host.ports[0], path, headers, agent: isKeptAlive ? this.#agent : false, timeout: MAX_WAIT_MS,
			}, response => {
				const chunks: Buffer[] = [];
				response.on('data', (chunk: Buffer) => {
					chunks.push(chunk);
				});
				response.on('error', () => undefined);
				response.on('close', () => {
					end({
						isRight: response.statusCode !== 200 || !response.complete || Buffer.concat(chunks).equals(Buffer.from(PLAIN_BODY)),
						status: response.statusCode!, isWhole: response.complete, isNotRun: response.headers[meshHeaders.notRun] !== undefined,
						isSigned: response.headers[meshHeaders.signature] !== undefined, answeredAttemptId: response.headers[meshHeaders.attemptId] as string | undefined, retryAfter: response.headers['retry-after'],
					});
				});
			});
			request.on('timeout', () => {
				request.destroy(new Error('no answer in time'));
			});
			request.on('error', (error: NodeJS.ErrnoException) => {
				end({status: 0, isWhole: false, error: error.code ?? error.message});
			});
			request.end();
		});
	}
}
