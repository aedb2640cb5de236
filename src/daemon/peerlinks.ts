import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Duplex} from 'node:stream';
import {WebSocket, WebSocketServer} from 'ws';
import {type Frame, type LinkSide} from '../core/index.js';
import {
	type FrameError, Handshake, MAX_FRAME_BYTES, decodeFrame, encodeFrame, header,
} from '../wire/index.js';
import {type Logger} from '../log/index.js';
import {type MessageBus} from './messagebus.js';

const HANDSHAKE_TIMEOUT_MS = 1000;
/** Most bytes buffered for one socket. A peer with more is considered stalled, and its link is closed. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/** Traffic and errors of the links. */
export type LinkCounts = {sentFrames: number; sentBytes: number; receivedBytes: number; rejectedFrames: number; failedHandshakes: number};

/** Owns the WebSocket links to and from peers: dials, authenticates both ends, encodes and decodes frames. */
export class PeerLinks {
	readonly counts: LinkCounts = {
		sentFrames: 0, sentBytes: 0, receivedBytes: 0, rejectedFrames: 0, failedHandshakes: 0,
	};

	readonly #bus: MessageBus;
	readonly #log: Logger;
	readonly #id: string;
	readonly #siteKey: string;
	readonly #server = new WebSocketServer({noServer: true, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false});
	readonly #sockets: Record<LinkSide, Map<string, WebSocket>> = {in: new Map(), out: new Map()};

	constructor(bus: MessageBus, log: Logger, id: string, siteKey: string) {
		this.#bus = bus;
		this.#log = log;
		this.#id = id;
		this.#siteKey = siteKey;
		bus.handle('frame', ({peer, side, frame}) => {
			this.#sendFrame(peer, side, frame);
		});
		bus.handle('connect', ({peer, address}) => {
			this.#dial(peer, address);
		});
		bus.handle('disconnect', ({peer}) => {
			this.#disconnect(peer);
		});
	}

	/** Accepts a link from a peer, as a WebSocket upgrade on the port that also serves callers. */
	acceptUpgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
		if (request.url !== header.PEER_PATH) {
			socket.destroy();
			return;
		}

		this.#server.handleUpgrade(request, socket, head, ws => {
			this.#runHandshake(ws, 'in', undefined);
		});
	}

	close(): void {
		for (const side of ['in', 'out'] as const) {
			for (const ws of this.#sockets[side].values()) {
				ws.close();
			}
		}

		this.#server.close();
	}

	#dial(peer: string, address: string): void {
		this.#disconnect(peer);
		const ws = new WebSocket(`ws://${address}${header.PEER_PATH}`, {
			perMessageDeflate: false, handshakeTimeout: HANDSHAKE_TIMEOUT_MS, maxPayload: MAX_FRAME_BYTES,
		});
		this.#sockets.out.set(peer, ws);
		ws.once('open', () => {
			this.#runHandshake(ws, 'out', peer);
		});
		ws.on('error', () => {
			ws.terminate();
		});
		ws.once('close', () => {
			this.#onClosed(peer, 'out', ws);
		});
	}

	#disconnect(peer: string): void {
		const ws = this.#sockets.out.get(peer);
		if (ws !== undefined) {
			this.#sockets.out.delete(peer);
			ws.terminate();
		}
	}

	#runHandshake(ws: WebSocket, side: LinkSide, expected: string | undefined): void {
		const handshake = new Handshake(this.#siteKey, side === 'out' ? 'dialer' : 'listener', this.#id);
		const timer = setTimeout(() => {
			ws.terminate();
		}, HANDSHAKE_TIMEOUT_MS);
		ws.on('error', () => {
			ws.terminate();
		});
		const onHandshakeMessage = (data: Buffer) => {
			try {
				const reply = handshake.handleMessage(data.toString());
				if (reply !== undefined) {
					ws.send(reply);
				}
			} catch (error) {
				this.counts.failedHandshakes++;
				this.#log.warn('handshake_failed', {reason: (error as Error).message});
				clearTimeout(timer);
				ws.terminate();
				return;
			}

			const {peerId} = handshake;
			if (peerId !== undefined) {
				clearTimeout(timer);
				ws.off('message', onHandshakeMessage);
				this.#onAuthenticated(ws, side, peerId, expected);
			}
		};

		ws.on('message', onHandshakeMessage);
		ws.send(handshake.buildHello());
	}

	#onAuthenticated(ws: WebSocket, side: LinkSide, peer: string, expected: string | undefined): void {
		if (expected !== undefined && expected !== peer) {
			this.#log.warn('peer_misnamed', {expected, peer});
			ws.terminate();
			return;
		}

		if (side === 'in') {
			const previous = this.#sockets.in.get(peer);
			this.#sockets.in.set(peer, ws);
			if (previous !== undefined) {
				previous.terminate();
				this.#bus.send({
					type: 'link', peer, side, up: false,
				});
			}

			ws.once('close', () => {
				this.#onClosed(peer, 'in', ws);
			});
		} else if (this.#sockets.out.get(peer) !== ws) {
			ws.terminate();
			return;
		}

		ws.on('message', (data: Buffer) => {
			this.#onMessage(ws, peer, side, data);
		});
		this.#bus.send({
			type: 'link', peer, side, up: true,
		});
	}

	#onMessage(ws: WebSocket, peer: string, side: LinkSide, data: Buffer): void {
		if (this.#sockets[side].get(peer) !== ws) {
			return;
		}

		this.counts.receivedBytes += data.length;
		let frame: Frame;
		try {
			frame = decodeFrame(data);
		} catch (error) {
			this.counts.rejectedFrames++;
			this.#log.warn('frame_rejected', {peer, reason: (error as FrameError).message});
			ws.terminate();
			return;
		}

		this.#bus.send({
			type: 'frame', peer, side, frame,
		});
	}

	#onClosed(peer: string, side: LinkSide, ws: WebSocket): void {
		if (this.#sockets[side].get(peer) === ws) {
			this.#sockets[side].delete(peer);
			this.#bus.send({
				type: 'link', peer, side, up: false,
			});
		}
	}

	#sendFrame(peer: string, side: LinkSide, frame: Frame): void {
		const ws = this.#sockets[side].get(peer);
		if (ws?.readyState !== WebSocket.OPEN) {
			return;
		}

		const bytes = encodeFrame(frame);
		this.counts.sentFrames++;
		this.counts.sentBytes += bytes.length;
		ws.send(bytes);
		if (ws.bufferedAmount > MAX_BUFFERED_BYTES) {
			this.#log.warn('peer_stalled', {peer, bufferedBytes: ws.bufferedAmount});
			ws.terminate();
		}
	}
}
