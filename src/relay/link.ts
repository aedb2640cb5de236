import {Buffer} from 'node:buffer';
import {WebSocket} from 'ws';
import {MAX_FRAME_BYTES} from '../wire/index.js';
import {
	type Call, CallHandle, type CallSink, type FailureReason, type RefusalReason,
} from './call.js';
import {
	type Frame, TemplateReader, TemplateWriter, FrameTag, buildCallFrame, decodeFrame, encodeFrame, readLoadReport,
} from './frame.js';

/** Where daemons take each other's links. */
export const PEER_PATH = '/peer';
/** How long a link may take to open, in ms: half of what two missed answers to a ping cost. */
const OPEN_MS = 500;
/** How often a link is pinged while calls are in flight on it, in ms. */
export const PING_INTERVAL_MS = 400;
/** A link that was silent for so long is dead, in ms. */
const SILENCE_MS = 1200;
/** A link without calls is closed after this time, in ms; opening it again costs a round trip. */
const IDLE_MS = 20_000;
/** Calls in flight on a link, and bytes waiting in its socket, past which it takes no more. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

type AnswerTemplate = {readonly status: number; readonly headers: readonly string[]; readonly isUnframed: boolean; readonly reached: readonly string[]; readonly isFailedBelow: boolean};

/** Told of what happens on a link besides its calls. */
export abstract class LinkEvents {
	abstract onOpen(link: Link): void;
	/** A frame that belongs to no call. */
	abstract onFrame(link: Link, frame: Frame): void;
	abstract onClosed(link: Link, reason: string): void;
}

/** One connection to the daemon beside a target, for the calls that this daemon sends there. */
export class Link {
	readonly host: string;
	readonly address: string;
	readonly #events: LinkEvents;
	readonly #socket: WebSocket;
	readonly #calls = new Map<number, LinkCall>();
	readonly #shapes = new TemplateWriter();
	readonly #answerShapes = new TemplateReader<AnswerTemplate>();
	readonly #nowMs: () => number;
	#waiting: LinkCall[] = [];
	#nextId = 1;
	#heardMs: number;
	#usedMs: number;
	#isClosed = false;

	constructor(host: string, address: string, events: LinkEvents, nowMs: () => number) {
		this.host = host;
		this.address = address;
		this.#events = events;
		this.#nowMs = nowMs;
		this.#heardMs = nowMs();
		this.#usedMs = this.#heardMs;
		this.#socket = new WebSocket(`ws://${address}${PEER_PATH}`, {
			perMessageDeflate: false, handshakeTimeout: OPEN_MS, maxPayload: MAX_FRAME_BYTES, skipUTF8Validation: true,
		});
		this.#socket.on('open', () => {
			this.#onOpen();
		});
		this.#socket.on('message', (data: Buffer) => {
			this.#onMessage(data);
		});
		this.#socket.on('pong', () => {
			this.#heardMs = this.#nowMs();
		});
		this.#socket.on('error', error => {
			this.close(error.message);
		});
		this.#socket.on('close', () => {
			this.close('closed');
		});
	}

	get inFlight(): number {
		return this.#calls.size;
	}

	call(call: Call, sink: CallSink): CallHandle {
		this.#usedMs = this.#nowMs();
		const held = new LinkCall(this, this.#nextId++, call, sink, this.#usedMs);
		if (this.#isClosed || this.#socket.bufferedAmount > MAX_BUFFERED_BYTES) {
			sink.onRefused('unreachable', undefined);
			return held;
		}

		this.#calls.set(held.id, held);
		if (this.#socket.readyState === WebSocket.OPEN) {
			this.#sendCall(held);
		} else {
			this.#waiting.push(held);
		}

		return held;
	}

	send(frame: Frame): void {
		if (this.#socket.readyState === WebSocket.OPEN) {
			this.#socket.send(encodeFrame(frame));
		}
	}

	/** Pings the link if it has calls in flight and was silent, and closes it if it is dead or idle. */
	checkLiveness(nowMs: number): void {
		if (this.#calls.size === 0) {
			this.#heardMs = nowMs;
			if (nowMs - this.#usedMs > IDLE_MS) {
				this.close('idle');
			}
		} else if (nowMs - this.#heardMs > SILENCE_MS) {
			this.close('silent');
		} else if (this.#socket.readyState === WebSocket.OPEN && nowMs - this.#heardMs >= PING_INTERVAL_MS / 2) {
			this.#socket.ping();
		}
	}

	/** Forgets a call whose sender no longer waits. */
	cancelCall(held: LinkCall): void {
		if (this.#calls.delete(held.id) && held.isSent) {
			this.send([FrameTag.cancel, held.id]);
		}
	}

	/** Ends the link: unsent calls were not run, the others may have been. */
	close(reason: string): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#socket.terminate();
		const calls = [...this.#calls.values()];
		this.#waiting = [];
		this.#events.onClosed(this, reason);
		this.#calls.clear();
		for (const {sink, isSent} of calls) {
			if (isSent) {
				sink.onFailed('link-lost', undefined);
			} else {
				sink.onRefused('unreachable', undefined);
			}
		}
	}

	#onOpen(): void {
		this.#heardMs = this.#nowMs();
		this.#events.onOpen(this);
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const held of waiting) {
			if (this.#calls.has(held.id)) {
				this.#sendCall(held);
			}
		}
	}

	#sendCall(held: LinkCall): void {
		held.isSent = true;
		this.#socket.send(encodeFrame(buildCallFrame(held.id, held.remaining(this.#nowMs()), this.#shapes)));
		held.flush();
	}

	#onMessage(data: Buffer): void {
		this.#heardMs = this.#nowMs();
		try {
			this.#take(decodeFrame(data));
		} catch (error) {
			this.close((error as Error).message);
		}
	}

	#take(frame: Frame): void {
		const [tag, id] = frame;
		if (tag === FrameTag.answer) {
			this.#takeAnswer(frame);
			return;
		}

		const held = this.#calls.get(id as number);
		switch (tag) {
			case FrameTag.refused: {
				this.#calls.delete(id as number);
				held?.sink.onRefused(frame[2] as RefusalReason, readLoadReport(frame[3]));
				break;
			}

			case FrameTag.failed: {
				this.#calls.delete(id as number);
				held?.sink.onFailed(frame[2] as FailureReason, readLoadReport(frame[3]));
				break;
			}

			case FrameTag.chunk: {
				if (frame[3] === true) {
					this.#calls.delete(id as number);
				}

				held?.sink.onChunk((frame[2] as Buffer | null) ?? Buffer.alloc(0), frame[3] === true);
				break;
			}

			case FrameTag.credit: {
				held?.sink.onCredit(frame[2] as number);
				break;
			}

			default: {
				this.#events.onFrame(this, frame);
			}
		}
	}

	#takeAnswer([, id, number, value, signature, lengthBytes, body, isWhole, report]: Frame): void {
		const shape = this.#answerShapes.read(number, value);
		const held = this.#calls.get(id as number);
		if (held === undefined) {
			return;
		}

		if (isWhole === true) {
			this.#calls.delete(held.id);
		}

		const head = {...shape, signature: (signature as string | null) ?? undefined, lengthBytes: (lengthBytes as number | null) ?? undefined};
		held.sink.onAnswer(head, (body as Buffer | null) ?? Buffer.alloc(0), isWhole === true, readLoadReport(report)!);
	}
}

/** One call on a link, until its end. */
class LinkCall extends CallHandle {
	readonly id: number;
	readonly sink: CallSink;
	isSent = false;
	readonly #link: Link;
	readonly #call: Call;
	readonly #sinceMs: number;
	#early: Array<{bytes: Buffer; isLast: boolean}> = [];

	constructor(link: Link, id: number, call: Call, sink: CallSink, nowMs: number) {
		super();
		this.#link = link;
		this.id = id;
		this.#call = call;
		this.sink = sink;
		this.#sinceMs = nowMs;
	}

	/** The call with what is left of its time now. */
	remaining(nowMs: number): Call {
		const waitedMs = nowMs - this.#sinceMs;
		return waitedMs < 1 ? this.#call : {...this.#call, leftMs: this.#call.leftMs - waitedMs};
	}

	flush(): void {
		for (const {bytes, isLast} of this.#early) {
			this.write(bytes, isLast);
		}

		this.#early = [];
	}

	override write(bytes: Buffer, isLast: boolean): void {
		if (this.isSent) {
			this.#link.send([FrameTag.chunk, this.id, bytes.length > 0 ? bytes : null, isLast]);
		} else {
			this.#early.push({bytes, isLast});
		}
	}

	override grantCredit(bytes: number): void {
		this.#link.send([FrameTag.credit, this.id, bytes]);
	}

	override cancel(): void {
		this.#link.cancelCall(this);
	}
}
