import {Buffer} from 'node:buffer';
import {WebSocket} from 'ws';
import {type Clock} from '../../clock/index.js';
import {MAX_FRAME_BYTES} from '../../wire/index.js';
import {
	type Call, type CallHandle, type CallSink, type FailureReason, type RefusalReason,
} from '../call.js';
import {
	type Frame, TemplateReader, TemplateWriter, FrameTag, buildCallFrame, decodeFrame, encodeFrame, readLoadReport, readSignals,
} from './frame.js';
import {acceptsConnections} from './acceptsconnections.js';
import {CallCarrier, LinkCall} from './linkcall.js';
import {type LinkEvents} from './linkevents.js';
import {StallDetector} from './stalldetector.js';
import {UnsentFrames} from './unsentframes.js';

/** The URL path on which a daemon accepts links from its peers. */
export const PEER_PATH = '/peer';
/** Limits how long a link may take to open, in ms: half of the time that two missed pongs cost. */
const OPEN_TIMEOUT_MS = 500;
/** The interval in ms at which links are checked for silence. */
export const LIVENESS_INTERVAL_MS = 400;
/** The silence in ms after which a link with calls in flight is pinged: most calls end within it, and a ping wakes both daemons twice. */
const PING_SILENCE_MS = 600;
/** The silence in ms after which a further call on a link with calls in flight is followed by a ping. */
const ASK_SILENCE_MS = 100;
/** Limits the silence of a link with calls in flight, in ms; after that it takes no more calls. */
const SILENCE_TIMEOUT_MS = 1200;
/** The idle timeout of a link without calls, in ms; reopening a link costs a round trip. */
const IDLE_TIMEOUT_MS = 20_000;
/** How long a link of the mesh may be silent while no calls are in flight before it is pinged, and before it counts as dead, in ms. */
const QUIET_PING_MS = 1000;
const QUIET_TIMEOUT_MS = 2400;
/** Limits the bytes buffered in a link's socket; above it the link refuses new calls. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

type AnswerTemplate = {readonly status: number; readonly headers: readonly string[]; readonly isUnframed: boolean; readonly reached: readonly string[]; readonly isFailedBelow: boolean; readonly signals: unknown};

/** The clocks of a link: of deadlines, and of the silence of its peer. */
export type LinkClocks = {readonly clock: Clock; readonly runningClock: Clock};

/** One WebSocket connection to the daemon beside a target; it multiplexes the calls that this daemon sends there. */
export class Link extends CallCarrier {
	readonly host: string;
	readonly address: string;
	/** Whether the link stays open and is watched while it carries no calls, though it isn't part of the mesh. */
	isWatched = false;
	readonly #events: LinkEvents;
	readonly #socket: WebSocket;
	readonly #calls = new Map<number, LinkCall>();
	readonly #callTemplates = new TemplateWriter();
	readonly #answerTemplates = new TemplateReader<AnswerTemplate>();
	readonly #clocks: LinkClocks;
	readonly #unsent = new UnsentFrames<LinkCall>();
	readonly #stallDetector = new StallDetector(() => {
		this.#events.onStalled(this, true);
		this.#refuseUnsent();
	});

	#nextId = 1;
	/** When the peer was heard, and a call sent, last: in ms on the running clock. */
	#lastHeardMs: number;
	#lastCallMs: number;
	#isKept = false;
	#isDetached = false;
	/** When the host of a silent peer was last asked for a connection, in ms on the running clock. */
	#probedMs = Number.NEGATIVE_INFINITY;
	#isClosed = false;

	constructor(host: string, address: string, events: LinkEvents, clocks: LinkClocks) {
		super();
		this.host = host;
		this.address = address;
		this.#events = events;
		this.#clocks = clocks;
		this.#lastHeardMs = this.#runningMs;
		this.#lastCallMs = this.#lastHeardMs;
		this.#socket = new WebSocket(`ws://${address}${PEER_PATH}`, {
			perMessageDeflate: false, handshakeTimeout: OPEN_TIMEOUT_MS, maxPayload: MAX_FRAME_BYTES, skipUTF8Validation: true,
		});
		this.#socket.on('open', () => {
			this.#onOpen();
		});
		this.#socket.on('message', (data: Buffer) => {
			this.#onMessage(data);
		});
		this.#socket.on('pong', () => {
			this.#onHeard();
		});
		this.#socket.on('error', error => {
			this.close(error.message);
		});
		this.#socket.on('close', () => {
			this.close('closed');
		});
	}

	get #runningMs(): number {
		return this.#clocks.runningClock.nowMs();
	}

	get inFlight(): number {
		return this.#calls.size;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	get isOpen(): boolean {
		return this.#socket.readyState === WebSocket.OPEN;
	}

	/** Whether the link is part of the mesh: it stays open and is watched while it carries no calls. */
	get isKept(): boolean {
		return this.#isKept;
	}

	set isKept(isKept: boolean) {
		this.#isKept = isKept;
	}

	call(call: Call, sink: CallSink): CallHandle {
		this.#lastCallMs = this.#runningMs;
		if (this.#calls.size === 0) {
			this.#lastHeardMs = this.#lastCallMs;
		}

		const linkCall = new LinkCall(this, this.#nextId++, call, sink, this.#clocks.clock.nowMs());
		if (this.#isClosed || this.#isDetached || this.#socket.bufferedAmount + this.#unsent.bytes > MAX_BUFFERED_BYTES) {
			sink.onRefused('unreachable', undefined);
			return linkCall;
		}

		this.#calls.set(linkCall.id, linkCall);
		// What the socket holds back can't be taken back, nor told from what has left.
		if (this.isOpen && this.#unsent.isEmpty && this.#socket.bufferedAmount === 0) {
			this.#sendCall(linkCall);
		} else {
			this.#unsent.push(linkCall);
		}

		if (this.#lastCallMs - this.#lastHeardMs >= ASK_SILENCE_MS && !this.#stallDetector.isAsking) {
			this.#ping();
		}

		return linkCall;
	}

	override send(frame: Frame): void {
		if (!this.isOpen) {
			return;
		}

		const bytes = encodeFrame(frame);
		if (this.#unsent.isEmpty) {
			this.#socket.send(bytes, this.#onWritten);
		} else {
			this.#unsent.push(bytes);
		}
	}

	/** Pings the link if it has calls in flight and is silent; closes it if it is dead or idle. */
	checkLiveness(): void {
		const nowMs = this.#runningMs;
		this.#sendUnsent();
		if (this.#stallDetector.isStalled) {
			this.#events.onStalled(this, false);
		}

		if (this.#isDetached) {
			this.#checkDetached(nowMs);
		} else if (this.#calls.size === 0 && (this.#isKept || this.isWatched)) {
			this.#checkQuiet(nowMs);
		} else if (this.#calls.size === 0) {
			this.#lastHeardMs = nowMs;
			if (nowMs - this.#lastCallMs > IDLE_TIMEOUT_MS) {
				this.close('idle');
			}
		} else if (nowMs - this.#lastHeardMs > SILENCE_TIMEOUT_MS) {
			this.#detach(nowMs);
		} else if (nowMs - this.#lastHeardMs >= PING_SILENCE_MS) {
			this.#ping();
		}
	}

	override cancelCall(linkCall: LinkCall): void {
		if (this.#calls.delete(linkCall.id) && linkCall.isSent) {
			this.send([FrameTag.cancel, linkCall.id]);
		}
	}

	override withdrawCall({id}: LinkCall): boolean {
		this.send([FrameTag.cancel, id]);
		return this.#calls.has(id);
	}

	/** Closes the link: unsent calls end as refused because they have not run; the others fail because they may have run. */
	close(reason: string): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#stallDetector.onHeard();
		this.#socket.terminate();
		const calls = [...this.#calls.values()];
		this.#unsent.clear();
		if (!this.#isDetached) {
			this.#events.onClosed(this, reason);
		}

		this.#calls.clear();
		for (const {sink, isSent} of calls) {
			if (isSent) {
				sink.onFailed('link-lost', undefined);
			} else {
				sink.onRefused('unreachable', undefined);
			}
		}
	}

	#ping(): void {
		if (this.isOpen) {
			this.#socket.ping(undefined, undefined, this.#onWritten);
			this.#stallDetector.onAsked();
		}
	}

	#onHeard(): void {
		this.#lastHeardMs = this.#runningMs;
		if (this.#stallDetector.onHeard()) {
			this.#events.onResumed(this);
		}
	}

	/** Ends the calls that wait here, so that they go elsewhere. */
	#refuseUnsent(): void {
		for (const linkCall of this.#calls.values()) {
			if (!linkCall.isSent) {
				this.#calls.delete(linkCall.id);
				linkCall.sink.onRefused('unreachable', undefined);
			}
		}
	}

	/** Ends the calls that another host may run. If the peer was only held up, the others are better off with a late answer than with none. */
	#detach(nowMs: number): void {
		this.#isDetached = true;
		this.#stallDetector.onHeard();
		this.#events.onDetached(this);
		this.#refuseUnsent();
		for (const linkCall of this.#calls.values()) {
			if (linkCall.mayBeSentAgain) {
				this.cancelCall(linkCall);
				linkCall.sink.onFailed('link-lost', undefined);
			}
		}

		this.#checkDetached(nowMs);
	}

	#checkDetached(nowMs: number): void {
		if (this.#calls.size === 0) {
			this.close('silent');
		} else if (Math.min(nowMs - this.#lastHeardMs, nowMs - this.#probedMs) > SILENCE_TIMEOUT_MS) {
			this.#probedMs = nowMs;
			void this.#probe();
		}
	}

	async #probe(): Promise<void> {
		const heardMs = this.#lastHeardMs;
		if (!await acceptsConnections(this.address, OPEN_TIMEOUT_MS) && this.#lastHeardMs === heardMs) {
			this.close('silent');
		}
	}

	#checkQuiet(nowMs: number): void {
		const silentMs = nowMs - this.#lastHeardMs;
		if (silentMs > QUIET_TIMEOUT_MS) {
			this.close('silent');
		} else if (silentMs >= QUIET_PING_MS) {
			this.#ping();
		}
	}

	readonly #onWritten = (): void => {
		if (!this.#unsent.isEmpty) {
			this.#stallDetector.onProgress();
			this.#sendUnsent();
		}
	};

	#onOpen(): void {
		this.#lastHeardMs = this.#runningMs;
		this.#events.onOpen(this);
		this.#sendUnsent();
	}

	#sendCall(linkCall: LinkCall): void {
		linkCall.isSent = true;
		this.#socket.send(encodeFrame(buildCallFrame(linkCall.id, linkCall.withRemainingTime(this.#clocks.clock.nowMs()), this.#callTemplates)), this.#onWritten);
		linkCall.flush();
	}

	#sendUnsent(): void {
		while (!this.#unsent.isEmpty && this.isOpen && this.#socket.bufferedAmount === 0) {
			const item = this.#unsent.shift()!;
			if (!(item instanceof LinkCall)) {
				this.#socket.send(item, this.#onWritten);
			} else if (this.#calls.has(item.id)) {
				this.#sendCall(item);
			}
		}
	}

	#onMessage(data: Buffer): void {
		this.#onHeard();
		try {
			this.#handleFrame(decodeFrame(data));
		} catch (error) {
			this.close((error as Error).message);
		}
	}

	#handleFrame(frame: Frame): void {
		const [tag, id] = frame;
		if (tag === FrameTag.answer) {
			this.#handleAnswer(frame);
			return;
		}

		const linkCall = this.#calls.get(id as number);
		switch (tag) {
			case FrameTag.refused: {
				this.#calls.delete(id as number);
				linkCall?.sink.onRefused(frame[2] as RefusalReason, readLoadReport(frame[3]));
				break;
			}

			case FrameTag.failed: {
				this.#calls.delete(id as number);
				linkCall?.sink.onFailed(frame[2] as FailureReason, readLoadReport(frame[3]));
				break;
			}

			case FrameTag.chunk: {
				if (frame[3] === true) {
					this.#calls.delete(id as number);
				}

				linkCall?.sink.onChunk((frame[2] as Buffer | null) ?? Buffer.alloc(0), frame[3] === true);
				break;
			}

			case FrameTag.credit: {
				linkCall?.sink.onCredit(frame[2] as number);
				break;
			}

			default: {
				if (!this.#isDetached) {
					this.#events.onFrame(this, frame);
				}
			}
		}
	}

	#handleAnswer([, id, number, value, signature, lengthBytes, body, isWhole, report]: Frame): void {
		const template = this.#answerTemplates.read(number, value);
		const linkCall = this.#calls.get(id as number);
		if (linkCall === undefined) {
			return;
		}

		linkCall.isAnswered = true;
		if (isWhole === true) {
			this.#calls.delete(linkCall.id);
		}

		const {
			status, headers, isUnframed, reached, isFailedBelow, signals,
		} = template;
		// Each field by name, as a spread of a decoded object takes several times as long.
		const head = {
			status, headers, isUnframed, reached, isFailedBelow, signals: readSignals(signals), signature: (signature as string | null) ?? undefined, lengthBytes: (lengthBytes as number | null) ?? undefined,
		};
		linkCall.sink.onAnswer(head, (body as Buffer | null) ?? Buffer.alloc(0), isWhole === true, readLoadReport(report)!);
	}
}
