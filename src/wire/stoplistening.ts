import {Server as NetServer} from 'node:net';
import {setImmediate} from 'node:timers/promises';

/** Limits the turns of the event loop in which a stop waits for connections that the kernel has taken. */
const MAX_ACCEPT_TURNS = 2000;

/**
 * Closes the listener of an HTTP server, and no connection: those that the kernel has taken are accepted first, as it would reset
 * them, and open ones stay, as the server's own method destroys what it takes for idle: answers that have ended and aren't written.
 */
export async function stopListening(server: NetServer): Promise<void> {
	let acceptedCount = 0;
	const onConnection = () => {
		acceptedCount++;
	};

	server.on('connection', onConnection);
	// The turn in which it is called may be past its accepting.
	await setImmediate();
	// The event loop accepts one connection a turn.
	for (let turn = 0, acceptedBefore = -1; turn < MAX_ACCEPT_TURNS && acceptedCount !== acceptedBefore; turn++) {
		acceptedBefore = acceptedCount;
		// eslint-disable-next-line no-await-in-loop -- until a turn has accepted none
		await setImmediate();
	}

	server.off('connection', onConnection);
	NetServer.prototype.close.call(server);
}
