import {Buffer} from 'node:buffer';
import {
	type AddressInfo, type Server, type Socket, connect, createServer,
} from 'node:net';

/** How long what was passed on last may take to arrive before the connection closes, in ms. */
const CLOSE_DELAY_MS = 20;

export type Direction = 'request' | 'answer';
/**
 * What happens to a chunk: the connection closes before, within or after it, or it is swallowed with all that follows.
 * A function is called instead, and the chunk isn't passed on.
 */
export type CutAction = 'before' | 'half' | 'after' | 'silent' | (() => void);
/** The first chunk in this direction that contains the text meets the action, at whichever proxy. */
export type Cut = {readonly direction: Direction; readonly text: string; readonly action: CutAction; isDone: boolean};

/** Passes TCP connections on to a port, and cuts one of them on demand. */
export class CutProxy {
	/** The port to pass on to; may be set after the proxy listens. */
	toPort = 0;
	/** The cut that is to be made. */
	cut: Cut | undefined;
	readonly #sockets = new Set<Socket>();
	readonly #server: Server;

	constructor() {
		this.#server = createServer({noDelay: true}, client => {
			const upstream = connect({port: this.toPort, host: '127.0.0.1', noDelay: true});
			const state = {isSilent: false};
			this.#pass('request', client, upstream, state);
			this.#pass('answer', upstream, client, state);
		});
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async listen(): Promise<this> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return this;
	}

	/** Closes all connections, as when the process at one end has died. */
	closeAll(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	close(): void {
		this.closeAll();
		this.#server.close();
	}

	#pass(direction: Direction, from: Socket, to: Socket, state: {isSilent: boolean}): void {
		this.#sockets.add(from);
		from.on('error', () => undefined);
		from.on('close', () => {
			this.#sockets.delete(from);
			if (!state.isSilent) {
				to.destroy();
			}
		});
		from.on('data', (chunk: Buffer) => {
			const {cut} = this;
			if (state.isSilent) {
				return;
			}

			if (cut?.direction !== direction || cut.isDone || !containsText(chunk, cut.text)) {
				to.write(chunk);
				return;
			}

			cut.isDone = true;
			state.isSilent = true;
			this.#apply(cut, chunk, from, to);
		});
	}

	#apply({action}: Cut, chunk: Buffer, from: Socket, to: Socket): void {
		if (action === 'silent') {
			return;
		}

		if (typeof action === 'function') {
			action();
		} else if (action !== 'before') {
			to.write(action === 'half' ? chunk.subarray(0, chunk.length >> 1) : chunk);
		}

		from.destroy();
		setTimeout(() => {
			to.destroy();
		}, action === 'before' ? 0 : CLOSE_DELAY_MS);
	}
}

/** Whether a chunk contains a text, as it is or in WebSocket frames that a client has masked. */
function containsText(chunk: Buffer, text: string): boolean {
	return chunk.includes(text) || unmaskFrames(chunk).includes(text);
}

function unmaskFrames(chunk: Buffer): string {
	let text = '';
	for (let start = 0; start + 6 <= chunk.length && (chunk[start + 1] & 0x80) !== 0;) {
		const shortLength = chunk[start + 1] & 0x7F;
		const [length, headBytes] = shortLength === 126 ? [chunk.readUInt16BE(start + 2), 4] : [shortLength, 2];
		const mask = chunk.subarray(start + headBytes, start + headBytes + 4);
		const payload = chunk.subarray(start + headBytes + 4, start + headBytes + 4 + length);
		text += Buffer.from(payload.map((byte, index) => byte ^ mask[index % 4])).toString('latin1');
		start += headBytes + 4 + length;
	}

	return text;
}
