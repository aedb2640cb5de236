import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** How long a client may send on to a connection whose last answer is written, in ms. */
export const LINGER_MS = 1000;

/**
 * Has the connection close in two steps once its last answer is written: it is half-closed first, and what the client still sends is
 * read until the client closes it, too. The HTTP server's own close would have the kernel answer such bytes with a reset, which drops
 * what the client hasn't received of the answer.
 */
export function lingerOnClose(socket: Socket): void {
	socket.destroySoon = () => {
		closeLingering(socket);
	};
}

/**
 * Closes the connections on which no request follows an answer in time. The HTTP server would destroy them, and do so before it has read
 * what came while the process was held up.
 * @param close closes a connection in two steps, after which no request on it is taken
 */
export function closeWhenIdle(server: Server, close: (socket: Socket) => void): void {
	const closeUnlessRead = async (socket: Socket) => {
		const {bytesRead} = socket;
		await nextTurn();
		await nextTurn();
		if (socket.bytesRead === bytesRead) {
			close(socket);
		}
	};

	server.on('timeout', (socket: Socket) => {
		void closeUnlessRead(socket);
	});
}

/** Half-closes a connection, and closes it when the client does or after a while. */
export function closeLingering(socket: Socket): void {
	if (socket.writableEnded) {
		return;
	}

	socket.end(() => {
		const timer = setTimeout(() => {
			socket.destroy();
		}, LINGER_MS);
		socket.once('close', () => {
			clearTimeout(timer);
		});
	});
}
