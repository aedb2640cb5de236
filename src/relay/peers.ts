import {Buffer} from 'node:buffer';
import {type Server, createServer} from 'node:http';
import {type WebSocket, WebSocketServer} from 'ws';
import {type EventLog} from '../log/index.js';
import {type LoadReport} from '../mesh/index.js';
import {
	type AnswerHead, type CallHandle, CallSink, type CallShape, type FailureReason, type RefusalReason,
} from './call.js';
import {
	type Frame, ShapeReader, ShapeWriter, Tag, callOf, decodeFrame, encodeFrame, packReport,
} from './frame.js';
import {PEER_PATH} from './link.js';
import {type Owner} from './owner.js';
import {type Address} from './settings.js';

const MAX_FRAME_BYTES = 4 * 1024 * 1024;
const EMPTY = Buffer.alloc(0);

/** Takes the links of other daemons and hands their calls to the owner of this host's target. */
export class Peers {
	readonly #server: Server;
	readonly #sockets = new WebSocketServer({
		noServer: true, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false, skipUTF8Validation: true,
	});

	readonly #links = new Set<PeerLink>();
	readonly #log: EventLog;

	/** @param greeting what a new link is told first; @param onFrame takes what belongs to no call */
	constructor(owner: Owner, log: EventLog, greeting: () => Frame, onFrame: (frame: Frame, reply: (frame: Frame) => void) => void) {
		this.#log = log;
		this.#server = createServer((_request, response) => {
			response.writeHead(426, {connection: 'close'});
			response.end();
		});
		this.#server.on('upgrade', (request, socket, head) => {
			if (request.url !== PEER_PATH) {
				log.count('bad_input', 'peers');
				socket.destroy();
				return;
			}

			this.#sockets.handleUpgrade(request, socket, head, ws => {
				const link = new PeerLink(ws, owner, onFrame, reason => {
					this.#links.delete(link);
					log.event('peer_link_closed', {from: request.socket.remoteAddress ?? '', reason});
				});
				this.#links.add(link);
				link.send(greeting());
			});
		});
	}

	async listen({ip, port}: Address): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, ip, resolve);
		});
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
		this.#log.event('peers_closed');
	}
}

/** The owner's side of one link. */
class PeerLink {
	readonly #socket: WebSocket;
	readonly #owner: Owner;
	readonly #onFrame: (frame: Frame, reply: (frame: Frame) => void) => void;
	readonly #shapes = new ShapeReader<CallShape>();
	readonly #answerShapes = new ShapeWriter();
	readonly #calls = new Map<number, CallHandle>();

	constructor(socket: WebSocket, owner: Owner, onFrame: (frame: Frame, reply: (frame: Frame) => void) => void, onClosed: (reason: string) => void) {
		this.#socket = socket;
		this.#owner = owner;
		this.#onFrame = onFrame;
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

	end(id: number): void {
		this.#calls.delete(id);
	}

	answer(id: number, head: AnswerHead, body: Buffer, isWhole: boolean, report: LoadReport): void {
		const shape = {status: head.status, headers: head.headers};
		const [number, value] = this.#answerShapes.write(`${head.status}\n${head.headers.join('\n')}`, shape);
		this.send([Tag.answer, id, number, value, head.signature ?? null, isWhole ? null : (head.lengthBytes ?? null), body.length > 0 ? body : null, isWhole, packReport(report)]);
	}

	#take(frame: Frame): void {
		const id = frame[1] as number;
		switch (frame[0]) {
			case Tag.call: {
				const call = callOf(frame, this.#shapes, EMPTY);
				const sink = new PeerSink(this, id);
				const handle = this.#owner.offer(call, sink);
				if (!sink.isOver) {
					this.#calls.set(id, handle);
				}

				break;
			}

			case Tag.cancel: {
				this.#calls.get(id)?.cancel();
				this.#calls.delete(id);
				break;
			}

			case Tag.chunk: {
				this.#calls.get(id)?.write((frame[2] as Buffer | null) ?? EMPTY, frame[3] === true);
				break;
			}

			case Tag.credit: {
				this.#calls.get(id)?.credit(frame[2] as number);
				break;
			}

			default: {
				this.#onFrame(frame, reply => {
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

		this.#link.send([Tag.chunk, this.#id, bytes.length > 0 ? bytes : null, isLast]);
	}

	override onRefused(reason: RefusalReason, retryAfterMs: number, report: LoadReport | undefined): void {
		this.#end();
		this.#link.send([Tag.refused, this.#id, reason, retryAfterMs, packReport(report)]);
	}

	override onFailed(reason: FailureReason, report: LoadReport | undefined): void {
		this.#end();
		this.#link.send([Tag.failed, this.#id, reason, packReport(report)]);
	}

	override onCredit(bytes: number): void {
		this.#link.send([Tag.credit, this.#id, bytes]);
	}

	#end(): void {
		this.isOver = true;
		this.#link.end(this.#id);
	}
}
