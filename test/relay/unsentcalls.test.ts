import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {type WebSocket, WebSocketServer} from 'ws';
import {SystemClock} from '../../src/clock/index.js';
import {type Call, type CallHandle, CallSink} from '../../src/relay/call.js';
import {
	FrameTag, decodeFrame, encodeFrame, packLoadReport,
} from '../../src/relay/peers/frame.js';
import {acceptsConnections} from '../../src/relay/peers/acceptsconnections.js';
import {Link} from '../../src/relay/peers/link.js';
import {LinkEvents} from '../../src/relay/peers/linkevents.js';
import {StallDetector} from '../../src/relay/peers/stalldetector.js';

vi.mock('../../src/relay/peers/acceptsconnections.js', {spy: true});

const CALLS = 240;
const BODY = Buffer.alloc(64_000);

class Outcome extends CallSink {
	readonly ends: string[] = [];
	override onRefused(reason: string): void {
		this.ends.push(`refused ${reason}`);
	}

	override onFailed(reason: string): void {
		this.ends.push(`failed ${reason}`);
	}

	override onAnswer(): void {
		this.ends.push('answered');
	}

	override onChunk(): void {
		// No answer comes.
	}

	override onCredit(): void {
		// No body is streamed.
	}
}

class SeenEvents extends LinkEvents {
	readonly seen: string[] = [];
	override onOpen(): void {
		// Nothing is sent besides calls.
	}

	override onFrame(): void {
		// The peer says nothing.
	}

	override onStalled(): void {
		this.seen.push('stalled');
	}

	override onResumed(): void {
		this.seen.push('resumed');
	}

	override onDetached(): void {
		this.seen.push('detached');
	}

	override onClosed(): void {
		// The test closes the link itself.
	}
}

const call: Call = {
	template: {
		route: 'x', rank: 0, repeatability: 'unsafe', method: 'POST', callerService: 'front', headers: [],
	},
	attemptId: 'a', path: '/x/', instance: 'i', leftMs: 5000, objectiveLeftMs: 1000,
	priority: {level: 0, floor: 0}, isNested: false, body: BODY, isRepeat: false, rateLimitPerS: undefined, hasMoreBody: false,
};

let server: WebSocketServer;
let events: SeenEvents;
const CLOCK = new SystemClock();
let link: Link;
let peer: WebSocket;
let receivedIds: number[];
let answersPings: boolean;
beforeEach(async () => {
	server = new WebSocketServer({host: '127.0.0.1', port: 0, autoPong: false});
	await once(server, 'listening');
	receivedIds = [];
	answersPings = true;
	events = new SeenEvents();
	server.on('connection', socket => {
		peer = socket;
		socket.on('error', () => undefined);
		socket.on('ping', data => {
			if (answersPings) {
				socket.pong(data);
			}
		});
		socket.on('message', (data: Buffer) => {
			const [tag, id] = decodeFrame(data);
			if (tag === FrameTag.call) {
				receivedIds.push(id as number);
			}
		});
	});
	link = new Link('peer', `127.0.0.1:${(server.address() as AddressInfo).port}`, events, {clock: CLOCK, runningClock: CLOCK});
	await vi.waitUntil(() => link.isOpen && peer !== undefined);
});
afterEach(() => {
	server.close();
});

/** Sends calls to a peer that has stopped to read, cuts the link, then lets the peer read whatever has left. Calls are numbered from 1. */
async function cutBehindPausedReader(sabotage: (handle: CallHandle) => void = () => undefined): Promise<{refusedIds: number[]; failedIds: number[]; wrongIds: number[]}> {
	peer.pause();
	// Whatever the peer wrote to a link that is gone would reset it, and the rest of what has left would be lost.
	answersPings = false;
	const outcomes = Array.from({length: CALLS}, () => new Outcome());
	for (const [index, outcome] of outcomes.entries()) {
		if (index % 40 === 20) {
			// eslint-disable-next-line no-await-in-loop -- what the socket holds back is written in between
			await sleep(5);
		}

		sabotage(link.call(call, outcome));
	}

	link.close('cut');
	peer.resume();
	await once(peer, 'close');
	expect(outcomes.map(({ends}) => ends.length)).toEqual(outcomes.map(() => 1));
	const idsOf = (end: string) => outcomes.flatMap(({ends}, index) => ends[0] === end ? [index + 1] : []);
	const refusedIds = idsOf('refused unreachable');
	return {refusedIds, failedIds: idsOf('failed link-lost'), wrongIds: refusedIds.filter(id => receivedIds.includes(id))};
}

describe('calls on a link that is cut while its peer doesn\'t read', () => {
	it('are refused as not run if their frames never left, and only then', async () => {
		const {refusedIds, failedIds, wrongIds} = await cutBehindPausedReader();
		expect(wrongIds).toEqual([]);
		expect([refusedIds.length > 10, receivedIds.length > 0]).toEqual([true, true]);
		expect(failedIds.length).toBeLessThanOrEqual(receivedIds.length + 1);
	});

	it('are refused though they have left if a frame that was handed over counts as unsent', async () => {
		const {wrongIds} = await cutBehindPausedReader(handle => {
			Object.defineProperty(handle, 'isSent', {
				get: () => false,
				set() {
					// A frame that leaves changes nothing.
				},
			});
		});
		expect(wrongIds.length).toBeGreaterThan(0);
	});

	it('avoid a peer that owes a sign of life until it is heard again, while those that have left stay in flight', async () => {
		peer.pause();
		const outcomes = [new Outcome(), new Outcome()];
		const small = {...call, body: Buffer.alloc(0)};
		link.call(small, outcomes[0]);
		await sleep(150);
		expect(events.seen).toEqual([]);
		link.call(small, outcomes[1]);
		await vi.waitUntil(() => events.seen.includes('stalled'), 5000);
		peer.resume();
		await vi.waitUntil(() => events.seen.includes('resumed'), 5000);
		expect([outcomes.map(({ends}) => ends), events.seen, link.isOpen]).toEqual([[[], []], ['stalled', 'resumed'], true]);
		link.close('over');
	});

	it('that have not left go elsewhere when their peer stalls', async () => {
		peer.pause();
		const outcomes = Array.from({length: CALLS}, () => new Outcome());
		for (const outcome of outcomes) {
			link.call(call, outcome);
		}

		await sleep(150);
		link.call(call, new Outcome());
		await vi.waitUntil(() => outcomes.at(-1)!.ends.length > 0, 5000);
		expect([outcomes[0].ends, outcomes.at(-1)!.ends, link.isOpen]).toEqual([[], ['refused unreachable'], true]);
		link.close('over');
	});

	it('aren\'t taken for stalled when this process itself was held up, if the peer has answered meanwhile or takes bytes', async () => {
		const stalls: string[] = [];
		for (const sign of ['onHeard', 'onProgress'] as const) {
			const detector = new StallDetector(() => {
				stalls.push(sign);
			});
			detector.onAsked();
			// What is served between the timer and its judgement.
			setTimeout(() => {
				detector[sign]();
			}, 200);
			const heldUpUntilMs = performance.now() + 400;
			while (performance.now() < heldUpUntilMs) {
				// Nothing else runs.
			}

			// eslint-disable-next-line no-await-in-loop -- one after the other
			await sleep(20);
			detector.onHeard();
		}

		expect(stalls).toEqual([]);
	});

	it('go out in order once the peer reads on', async () => {
		peer.pause();
		const outcomes = Array.from({length: CALLS}, () => new Outcome());
		for (const outcome of outcomes) {
			link.call(call, outcome);
		}

		peer.resume();
		await vi.waitUntil(() => receivedIds.length === CALLS, 5000);
		expect(receivedIds).toEqual(Array.from({length: CALLS}, (_, index) => index + 1));
		expect(outcomes.flatMap(({ends}) => ends)).toEqual([]);
		link.close('over');
	});
});

describe('calls on a link whose peer is silent for too long', () => {
	const unsafe = {...call, body: Buffer.alloc(0)};
	const safe: Call = {...unsafe, template: {...call.template, repeatability: 'safe'}};
	let timer: NodeJS.Timeout;

	/** Sends a call that no other host may run, and one that any may, and waits until the link takes no more. @returns their outcomes */
	async function outlastSilence(): Promise<Outcome[]> {
		const outcomes = [new Outcome(), new Outcome()];
		for (const [index, each] of [unsafe, safe].entries()) {
			link.call(each, outcomes[index]);
		}

		await vi.waitUntil(() => receivedIds.length === 2, 5000);
		answersPings = false;
		timer = setInterval(() => {
			link.checkLiveness();
		}, 100);
		await vi.waitUntil(() => events.seen.includes('detached'), 5000);
		return outcomes;
	}

	afterEach(() => {
		clearInterval(timer);
	});

	// Guards against answers that are lost because their peer was held up for longer than a link may be silent.
	it('wait for their answers if no other host may run them and its own accepts connections', async () => {
		const outcomes = await outlastSilence();
		const late = new Outcome();
		link.call(unsafe, late);
		await sleep(1000);
		expect([...outcomes, late].map(({ends}) => ends)).toEqual([[], ['failed link-lost'], ['refused unreachable']]);
		const head = {
			status: 200, headers: [], isUnframed: false, reached: [], isFailedBelow: false, signals: null,
		};
		peer.send(encodeFrame([FrameTag.answer, receivedIds[0], 0, head, 's', null, null, true, packLoadReport({
			running: 0, queued: 0, limit: 1, serviceMs: 1,
		})]));
		await vi.waitUntil(() => link.isClosed, 5000);
		expect(outcomes[0].ends).toEqual(['answered']);
	});

	it('wait on if it is heard while its host is asked for a connection', async () => {
		vi.mocked(acceptsConnections).mockImplementationOnce(async () => {
			peer.pong();
			await sleep(200);
			return false;
		});
		const [outcome] = await outlastSilence();
		await sleep(500);
		expect([outcome.ends, link.isClosed]).toEqual([[], false]);
		link.close('over');
	});

	it('fail if its host accepts no connections either', async () => {
		server.close();
		const outcomes = await outlastSilence();
		await vi.waitUntil(() => link.isClosed, 5000);
		expect(outcomes.map(({ends}) => ends)).toEqual([['failed link-lost'], ['failed link-lost']]);
	});
});
