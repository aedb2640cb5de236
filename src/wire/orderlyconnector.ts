import {Socket, type SocketConstructorOpts} from 'node:net';
import {type buildConnector, errors} from 'undici';

/** How much a connection reads ahead of its reader, in bytes. */
const READ_AHEAD_BYTES = 65_536;
/** The port of an origin that names none. */
const HTTP_PORT = 80;
/** How long a connection is silent before the operating system asks whether its peer is there, in ms. */
const KEEP_ALIVE_DELAY_MS = 60_000;

export type OrderlyConnectorOptions = {
	/** The timeout for opening a connection, in ms. */
	readonly timeoutMs: number;
	readonly onConnected?: (socket: Socket) => void;
};

/**
 * Creates a connector for HTTP clients whose answers may end with their connections. A connection ends only if its peer closed
 * it, and once its reader has taken all before the end; a reset is an error at any time.
 */
export function createOrderlyConnector({timeoutMs, onConnected}: OrderlyConnectorOptions): buildConnector.connector {
	return ({hostname, port, localAddress}, callback) => {
		const socket = new OrderlySocket({highWaterMark: READ_AHEAD_BYTES} as SocketConstructorOpts);
		const fail = (error: Error) => {
			callback(error, null);
		};

		socket.once('error', fail);
		const onTimeout = () => {
			socket.destroy(new errors.ConnectTimeoutError(`no connection to ${hostname}:${port} within ${timeoutMs} ms`));
		};

		socket.setTimeout(timeoutMs, onTimeout);
		socket.connect({host: hostname, port: port === '' ? HTTP_PORT : Number(port), ...(localAddress && {localAddress})}, () => {
			socket.off('error', fail);
			socket.setTimeout(0, onTimeout);
			onConnected?.(socket);
			callback(null, socket);
		});
		socket.setNoDelay(true);
		socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
	};
}

class OrderlySocket extends Socket {
	/** Whether the peer has closed the connection, and the reader doesn't know yet. */
	#isAtEnd = false;

	override push(chunk: unknown, encoding?: BufferEncoding): boolean {
		if (chunk !== null) {
			return super.push(chunk, encoding);
		}

		// Node reports a reset that it finds together with data as an end. The peer of a connection that was reset is unknown.
		if (this.remoteAddress === undefined) {
			this.destroy(createResetError());
			return false;
		}

		this.#isAtEnd = true;
		this.emit('readable');
		return false;
	}

	// The HTTP client has no answer to an end that comes while it has paused; then it doesn't read.
	override read(bytes?: number): unknown {
		const chunk: unknown = super.read(bytes);
		if (chunk === null && bytes === undefined && this.#isAtEnd) {
			this.#isAtEnd = false;
			super.push(null);
		}

		return chunk;
	}

	// The HTTP client takes an answer without a length as whole if its connection ends with the system's error for a reset.
	override _destroy(error: NodeJS.ErrnoException | null, callback: (error: Error | null) => void): void {
		super._destroy(error, () => {
			callback(error?.code === 'ECONNRESET' ? createResetError() : error);
		});
	}
}

function createResetError(): Error {
	return new errors.SocketError('connection reset by its peer');
}
