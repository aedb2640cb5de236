import {type Socket} from 'node:net';
import {buildConnector} from 'undici';

/** What is known of a connection to a target. */
export type TargetConnection = {
	/** Whether it ended in a reset: the HTTP client takes an answer without a length as complete even then. */
	wasReset: boolean;
	/** How it ended, as far as that is known. */
	end: ConnectionEnd;
	/** Undefined until it is open. */
	socket: Socket | undefined;
};

/** How a connection ended; `peer-unknown` if it ended without an error, and the operating system no longer knew its peer. */
export type ConnectionEnd = 'open' | 'closed' | 'peer-unknown' | 'reset';

/** Creates a connector for an HTTP client with one connection at a time, that notes how the connection ends. @param timeoutMs the timeout for opening it */
export function markResets(connection: TargetConnection, timeoutMs: number): buildConnector.connector {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...result) => {
			const [error, socket] = result;
			connection.wasReset = false;
			connection.end = 'open';
			if (error === null) {
				connection.socket = socket;
				socket.on('end', () => {
					connection.end = socket.remoteAddress === undefined ? 'peer-unknown' : 'closed';
				});
				socket.on('error', () => {
					connection.wasReset = true;
					connection.end = 'reset';
				});
			}

			callback(...result);
		});
	};
}
