import {Buffer} from 'node:buffer';
import {type AddressInfo, type Server, createServer} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {SystemClock} from '../../src/clock/index.js';
import {EventLog, Logger} from '../../src/log/index.js';
import {type AnswerHead, BODY_WINDOW_BYTES, type Call} from '../../src/relay/call.js';
import {RunSink} from '../../src/relay/target/run.js';
import {TargetClient} from '../../src/relay/target/targetclient.js';
import {MeshAdapter, meshHeaders} from '../../standins/meshadapter.js';
import {MemoryStore} from '../../fakes/memorystore.js';

/** How long the connection has been over when the receiver goes on, in ms. */
const PAUSE_MS = 100;
/** The last bytes that the daemon reads before it pauses. */
const LAST_READ_BYTES = [1, 1000, 30_000, 60_000];

/** Receives an answer and accepts no more than its window of it until it is told to. */
class SlowSink extends RunSink {
	receivedBytes = 0;
	end: 'whole' | 'failed' | undefined;

	override onHead(_head: AnswerHead, body: Buffer, isWhole: boolean): void {
		this.receivedBytes += body.length;
		this.end = isWhole ? 'whole' : undefined;
	}

	override onChunk(bytes: Buffer, isLast: boolean): void {
		this.receivedBytes += bytes.length;
		this.end = isLast ? 'whole' : undefined;
	}

	override onFailed(): void {
		this.end = 'failed';
	}

	override onNotRun(): void {
		this.end = 'failed';
	}

	override onBodyTaken(): void {
		// Nothing is sent.
	}

	override onSignals(): void {
		// The answer has none.
	}

	override onLoad(): void {
		// The answer has none.
	}

	override onInvalidSignals(): void {
		// The answer has none.
	}

	override onUnknownHeader(): void {
		// The answer has none.
	}
}

const createCall = (attemptId: string): Call => ({
	template: {
		route: 'x', rank: 1, repeatability: 'unsafe', method: 'GET', callerService: 'front', headers: ['host', 'site'],
	},
	attemptId,
	path: '/x/',
	instance: 'i',
	leftMs: 2000,
	objectiveLeftMs: 1000,
	priority: {level: 0, floor: 0},
	isNested: false,
	body: Buffer.alloc(0),
	isRepeat: false,
	rateLimitPerS: undefined,
	hasMoreBody: false,
});

function createClient(server: Server): TargetClient {
	const clock = new SystemClock();
	const log = new EventLog(new Logger('a', 'info', () => undefined), clock);
	return new TargetClient({ip: '127.0.0.1', port: (server.address() as AddressInfo).port}, new MeshAdapter(new MemoryStore().createView()), () => clock.nowMs(), log);
}

let target: Server;
let client: TargetClient;
let answer = Buffer.alloc(0);
let ending: 'end' | 'reset' = 'end';
const unexpected: string[] = [];
const record = (error: Error) => {
	unexpected.push(error.message);
};

beforeEach(async () => {
	unexpected.length = 0;
	process.on('uncaughtException', record);
	target = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(answer, () => {
				if (ending === 'end') {
					socket.end();
				} else {
					socket.resetAndDestroy();
				}
			});
		});
	});
	await new Promise<void>(resolve => {
		target.listen(0, '127.0.0.1', resolve);
	});
	client = createClient(target);
});
afterEach(() => {
	process.off('uncaughtException', record);
	target.close();
});

/** Runs a call whose answer is as large as the receiver's window and these bytes more. */
async function run(moreBytes: number, hasLength: boolean): Promise<{wantedBytes: number; sink: SlowSink}> {
	const body = Buffer.alloc(BODY_WINDOW_BYTES + moreBytes, 'x');
	const length = hasLength ? `content-length: ${body.length}\r\n` : '';
	answer = Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: a\r\n${meshHeaders.signature}: s\r\nconnection: close\r\n${length}\r\n`), body]);
	const sink = new SlowSink();
	const run = client.run(createCall('a'), sink);
	await sleep(PAUSE_MS);
	run.grantCredit(BODY_WINDOW_BYTES);
	await expect.poll(() => sink.end, {timeout: 1000}).toBeDefined();
	return {wantedBytes: body.length, sink};
}

// Guards against an error that no part handles, and many of which end the process: a connection that ends while its answer is paused (LOST).
describe('a target\'s connection that ends while its answer is paused', () => {
	const cases = LAST_READ_BYTES.flatMap(moreBytes => [false, true].map(hasLength => ({moreBytes, hasLength})));
	it.each(cases)('ends the answer once the receiver goes on: $moreBytes bytes beyond its window, with a length: $hasLength', async ({moreBytes, hasLength}) => {
		ending = 'end';
		const {wantedBytes, sink} = await run(moreBytes, hasLength);
		expect(unexpected).toEqual([]);
		expect([sink.end, sink.receivedBytes]).toEqual(['whole', wantedBytes]);
	});

	it.each(cases)('ends the answer as failed if it was reset: $moreBytes bytes beyond its window, with a length: $hasLength', async ({moreBytes, hasLength}) => {
		ending = 'reset';
		const {sink} = await run(moreBytes, hasLength);
		expect(unexpected).toEqual([]);
		if (!hasLength) {
			expect(sink.end).toBe('failed');
		}
	});
});

// Guards against a request that fails as garbled before it is sent, because of what its connection received before.
describe('a request on a connection that has received much', () => {
	it('is judged by its own answer only', async () => {
		const answers = createServer(socket => {
			socket.on('error', () => undefined);
			socket.on('data', data => {
				const {id} = (/^attempt-id: (?<id>\w+)/mv.exec(data.toString())!.groups!);
				const body = 'x'.repeat(id === 'large' ? BODY_WINDOW_BYTES : 2);
				socket.write(`HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.signature}: s\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
			});
		});
		await new Promise<void>(resolve => {
			answers.listen(0, '127.0.0.1', resolve);
		});
		const keeping = createClient(answers);
		const [first, second] = [new SlowSink(), new SlowSink()];
		const large = keeping.run(createCall('large'), first);
		large.grantCredit(BODY_WINDOW_BYTES);
		await expect.poll(() => first.end).toBe('whole');
		keeping.run(createCall('small'), second).checkReceivedBytes();
		await expect.poll(() => second.end).toBeDefined();
		expect([second.end, second.receivedBytes]).toEqual(['whole', 2]);
		keeping.discardConnections();
		answers.close();
	});
});
