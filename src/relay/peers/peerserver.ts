import {Buffer} from 'node:buffer';
import {type Server, createServer} from 'node:http';
import {type WebSocket, WebSocketServer} from 'ws';
import {type Clock, sleep} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {type LoadReport} from '../../mesh/index.js';
import {type ListenPatience, MAX_FRAME_BYTES, listen} from '../../wire/index.js';
import {
	type AnswerHead, type CallHandle, CallSink, type CallTemplate, type FailureReason, type RefusalReason,
} from '../call.js';
import {type TargetOwner} from '../target/targetowner.js';
import {type Address} from '../settings.js';
import {PEER_PATH} from './link.js';
import {
	type Frame, FrameChannel, TemplateReader, TemplateWriter, FrameTag, readCallFrame, decodeFrame, encodeFrame, packLoadReport, packSignals,
} from './frame.js';

const EMPTY = Buffer.alloc(0);
/** The shortest time in ms between two floor frames on a link on which calls end; floors change about this often. */
const FLOOR_INTERVAL_MS = 40;

/** What the server needs from its daemon. */
export type PeerServerParts = {
	readonly owner: TargetOwner;
	readonly log: EventLog;
	readonly clock: Clock;
	/** Builds the first frame on a new link. */
	readonly buildHelloFrame: () => Frame;
	/** Builds a frame with the floors that this daemon knows, if there are any. */
	readonly buildFloorFrame: () => Frame | undefined;
	/** Handles a frame that belongs to no call. */
	readonly onFrame: (frame: Frame, channel: FrameChannel) => void;
	readonly onClosed: (channel: FrameChannel) => void;
};

/** Accepts links from other daemons, and passes their calls to the owner of this host's target. */
export class PeerServer {
	readonly #server: Server;
	readonly #webSocketServer = new WebSocketServer({
		noServer: true, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false, skipUTF8Validation: true,
	});

	readonly #links = new Set<PeerLink>();
	readonly #parts: PeerServerParts;

	constructor(parts: PeerServerParts) {
		this.#parts = parts;
		const {log} = parts;
		this.#server = createServer((_request, response) => {
			response.writeHead(426, {connection: 'close'});
			response.end();
		});
		this.#server.on('upgrade', (request, socket, head) => {
			if (request.url !== PEER_PATH) {
				log.registry.count('bad_input', {address: 'peers'});
				socket.destroy();
				return;
			}

			this.#webSocketServer.handleUpgrade(request, socket, head, webSocket => {
				const link = new PeerLink(webSocket, parts, reason => {
					this.#links.delete(link);
					parts.onClosed(link);
					log.event('peer_link_closed', {from: request.socket.remoteAddress ?? '', reason});
				});
				this.#links.add(link);
				link.send(parts.buildHelloFrame());
			});
		});
	}

	/** Whether answers wait to be written to a link. */
	get isSending(): boolean {
		return [...this.#links].some(link => link.isSending);
	}

	async listen(address: Address, patience: ListenPatience): Promise<void> {
		await listen(this.#server, address, patience);
	}

	/** Sends a frame to all daemons that have a link to this one. */
	broadcast(frame: Frame): void {
		for (const link of this.#links) {
			link.send(frame);
		}
	}

	/**
	 * Closes the links, and gives the address up once the peers have closed them, too: what they send to a process that has ended
	 * would reset a link with answers on their way.
	 * @param maxMs how long it waits for the peers, in ms
	 */
	async close(maxMs: number): Promise<void> {
		await Promise.race([Promise.all([...this.#links].map(async link => link.close())), sleep(maxMs)]);
		this.#webSocketServer.close();
		this.#server.close();
		this.#parts.log.event('peers_closed');
	}
}

/** The accepting side of one link. */
class PeerLink extends FrameChannel {
	readonly #socket: WebSocket;
	readonly #parts: PeerServerParts;
	readonly #callTemplates = new TemplateReader<CallTemplate>();
	readonly #answerTemplates = new TemplateWriter();
	readonly #calls = new Map<number, CallHandle>();
	#floorsSentMs = 0;

	constructor(socket: WebSocket, parts: PeerServerParts, onClosed: (reason: string) => void) {
		super();
		this.#socket = socket;
		this.#parts = parts;
		let reason = 'closed';
		socket.on('message', (data: Buffer) => {
			try {
				this.#handleFrame(decodeFrame(data));
			} catch (error) {
				reason = (error as Error).message;
				socket.terminate();
			}
		});
		socket.on('error', error => {
			reason = error.message;
			socket.terminate();
		});
		socket.on('close', () => {
			for (const handle of this.#calls.values()) {
				handle.cancel();
			}

			this.#calls.clear();
			onClosed(reason);
		});
	}

	get isSending(): boolean {
		return this.#socket.readyState === this.#socket.OPEN && this.#socket.bufferedAmount > 0;
	}

	override send(frame: Frame): void {
		if (this.#socket.readyState === this.#socket.OPEN) {
			this.#socket.send(encodeFrame(frame));
		}
	}

	/** Resolves when the peer has closed the link, too. */
	async close(): Promise<void> {
		const closed = new Promise(resolve => {
			this.#socket.once('close', resolve);
		});
		this.#socket.close();
		await closed;
	}

	/** Removes a call that ended, and sends the known floors to its sender unless that was done recently. */
	endCall(id: number): void {
		this.#calls.delete(id);
		const nowMs = this.#parts.clock.nowMs();
		if (nowMs - this.#floorsSentMs >= FLOOR_INTERVAL_MS) {
			this.#floorsSentMs = nowMs;
			const frame = this.#parts.buildFloorFrame();
			if (frame !== undefined) {
				this.send(frame);
			}
		}
	}

	sendAnswer(id: number, head: AnswerHead, body: Buffer, isWhole: boolean, report: LoadReport): void {
		const {
			status, headers, isUnframed, reached, isFailedBelow, signals,
		} = head;
		const template = {
			status, headers, isUnframed, reached, isFailedBelow, signals: packSignals(signals),
		};
		const [number, value] = this.#answerTemplates.write(`${status}\n${headers.join('\n')}\n${reached.join(' ')}\n${isFailedBelow}\n${isUnframed}\n${signals?.rateLimitPerS}\n${signals?.isLeaving}`, template);
		this.send([FrameTag.answer, id, number, value, head.signature ?? null, isWhole ? null : (head.lengthBytes ?? null), body.length > 0 ? body : null, isWhole, packLoadReport(report)]);
	}

	#handleFrame(frame: Frame): void {
		const id = frame[1] as number;
		switch (frame[0]) {
			case FrameTag.call: {
				const call = readCallFrame(frame, this.#callTemplates, EMPTY);
				const sink = new PeerSink(this, id);
				const handle = this.#parts.owner.submit(call, sink);
				if (!sink.isOver) {
					this.#calls.set(id, handle);
				}

				break;
			}

			case FrameTag.cancel: {
				const hasNotRun = this.#calls.get(id)?.cancel() === true;
				this.#calls.delete(id);
				if (hasNotRun) {
					this.send([FrameTag.refused, id, 'cancelled' satisfies RefusalReason, null]);
				}

				break;
			}

			case FrameTag.chunk: {
				this.#calls.get(id)?.write((frame[2] as Buffer | null) ?? EMPTY, frame[3] === true);
				break;
			}

			case FrameTag.credit: {
				this.#calls.get(id)?.grantCredit(frame[2] as number);
				break;
			}

			default: {
				this.#parts.onFrame(frame, this);
			}
		}
	}
}

/** Sends the outcome of a call back on its link. */
class PeerSink extends CallSink {
	isOver = false;
	readonly #link: PeerLink;
	readonly #id: number;

	constructor(link: PeerLink, id: number) {
		super();
		this.#link = link;
		this.#id = id;
	}

	override onAnswer(head: AnswerHead, body: Buffer, isWhole: boolean, report: LoadReport): void {
		if (isWhole) {
			this.#end();
		}

		this.#link.sendAnswer(this.#id, head, body, isWhole, report);
	}

	override onChunk(bytes: Buffer, isLast: boolean): void {
		if (isLast) {
			this.#end();
		}

		this.#link.send([FrameTag.chunk, this.#id, bytes.length > 0 ? bytes : null, isLast]);
	}

	override onRefused(reason: RefusalReason, report: LoadReport | undefined): void {
		this.#end();
		this.#link.send([FrameTag.refused, this.#id, reason, packLoadReport(report)]);
	}

	override onFailed(reason: FailureReason, report: LoadReport | undefined): void {
		this.#end();
		this.#link.send([FrameTag.failed, this.#id, reason, packLoadReport(report)]);
	}

	override onCredit(bytes: number): void {
		this.#link.send([FrameTag.credit, this.#id, bytes]);
	}

	#end(): void {
		this.isOver = true;
		this.#link.endCall(this.#id);
	}
}
