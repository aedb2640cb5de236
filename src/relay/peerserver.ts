import {Buffer} from 'node:buffer';
import {type Server, createServer} from 'node:http';
import {type WebSocket, WebSocketServer} from 'ws';
import {type Clock} from '../clock/index.js';
import {type EventLog} from '../log/index.js';
import {type LoadReport} from '../mesh/index.js';
import {MAX_FRAME_BYTES} from '../wire/index.js';
import {
	type AnswerHead, type CallHandle, CallSink, type CallTemplate, type FailureReason, type RefusalReason,
} from './call.js';
import {
	type Frame, TemplateReader, TemplateWriter, FrameTag, readCallFrame, decodeFrame, encodeFrame, packLoadReport,
} from './frame.js';
import {PEER_PATH} from './link.js';
import {type TargetOwner} from './targetowner.js';
import {listen} from './listen.js';
import {type Address} from './settings.js';

const EMPTY = Buffer.alloc(0);
/** How often a link is told of floors while calls end on it, in ms: floors change at this pace. */
const TELL_MS = 40;

/** What links to this daemon need from it. */
export type PeerServerParts = {
	readonly owner: TargetOwner;
	readonly log: EventLog;
	readonly clock: Clock;
	/** What a new link is told first. */
	readonly buildHelloFrame: () => Frame;
	/** What is known of floors, if there is any. */
	readonly buildFloorFrame: () => Frame | undefined;
	/** Takes what belongs to no call. */
	readonly onFrame: (frame: Frame, reply: (frame: Frame) => void) => void;
};

/** Takes the links of other daemons and hands their calls to the owner of this host's target. */
export class PeerServer {
	readonly #server: Server;
	readonly #sockets = new WebSocketServer({
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

			this.#sockets.handleUpgrade(request, socket, head, ws => {
				const link = new PeerLink(ws, parts, reason => {
					this.#links.delete(link);
					log.event('peer_link_closed', {from: request.socket.remoteAddress ?? '', reason});
				});
				this.#links.add(link);
				link.send(parts.buildHelloFrame());
			});
		});
	}

	async listen(address: Address): Promise<void> {
		await listen(this.#server, address);
	}

	/** Tells all daemons that have a link to this one. */
	broadcast(frame: Frame): void {
		for (const link of this.#links) {
			link.send(frame);
		}
	}

	close(): void {
		for (const link of this.#links) {
			link.close();
		}

		this.#sockets.close();
		this.#server.close();
		this.#parts.log.event('peers_closed');
	}
}

/** The owner's side of one link. */
class PeerLink {
	readonly #socket: WebSocket;
	readonly #parts: PeerServerParts;
	readonly #shapes = new TemplateReader<CallTemplate>();
	readonly #answerShapes = new TemplateWriter();
	readonly #calls = new Map<number, CallHandle>();
	#toldMs = 0;

	constructor(socket: WebSocket, parts: PeerServerParts, onClosed: (reason: string) => void) {
		this.#socket = socket;
		this.#parts = parts;
		let reason = 'closed';
		socket.on('message', (data: Buffer) => {
			try {
				this.#take(decodeFrame(data));
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

	send(frame: Frame): void {
		if (this.#socket.readyState === this.#socket.OPEN) {
			this.#socket.send(encodeFrame(frame));
		}
	}

	close(): void {
		this.#socket.close();
	}

	/** A call has ended: its sender learns of floors, too. */
	end(id: number): void {
		this.#calls.delete(id);
		const nowMs = this.#parts.clock.nowMs();
		if (nowMs - this.#toldMs >= TELL_MS) {
			this.#toldMs = nowMs;
			const frame = this.#parts.buildFloorFrame();
			if (frame !== undefined) {
				this.send(frame);
			}
		}
	}

	answer(id: number, head: AnswerHead, body: Buffer, isWhole: boolean, report: LoadReport): void {
		const {
			status, headers, isUnframed, reached, isFailedBelow,
		} = head;
		const shape = {
			status, headers, isUnframed, reached, isFailedBelow,
		};
		const [number, value] = this.#answerShapes.write(`${status}\n${headers.join('\n')}\n${reached.join(' ')}\n${isFailedBelow}\n${isUnframed}`, shape);
		this.send([FrameTag.answer, id, number, value, head.signature ?? null, isWhole ? null : (head.lengthBytes ?? null), body.length > 0 ? body : null, isWhole, packLoadReport(report)]);
	}

	#take(frame: Frame): void {
		const id = frame[1] as number;
		switch (frame[0]) {
			case FrameTag.call: {
				const call = readCallFrame(frame, this.#shapes, EMPTY);
				const sink = new PeerSink(this, id);
				const handle = this.#parts.owner.submit(call, sink);
				if (!sink.isOver) {
					this.#calls.set(id, handle);
				}

				break;
			}

			case FrameTag.cancel: {
				this.#calls.get(id)?.cancel();
				this.#calls.delete(id);
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
				this.#parts.onFrame(frame, reply => {
					this.send(reply);
				});
			}
		}
	}
}

/** Sends what becomes of a call back on its link. */
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

		this.#link.answer(this.#id, head, body, isWhole, report);
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
		this.#link.end(this.#id);
	}
}
