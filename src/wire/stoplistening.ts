import {Server as NetServer} from 'node:net';
import {setImmediate} from 'node:timers/promises';

/**
 * Closes the listener of an HTTP server, and no connection: those that the kernel has taken are accepted first, as it would reset
 * them, and open ones stay, as the server's own method destroys what it takes for idle: answers that have ended and aren't written.
 * @param maxMs when it closes the listener at the latest, in ms: clients may connect faster than a busy process accepts
 */
export async function stopListening(server: NetServer, maxMs: number): Promise<void> {
	const endMs = performance.now() + maxMs;
	let acceptedCount = 0;
	const onConnection = () => {
		acceptedCount++;
	};

	server.on('connection', onConnection);
	// The turn in which it is called may be past its accepting.
	await setImmediate();
	// The event loop accepts one connection a turn.
	for (let acceptedBefore = -1; performance.now() < endMs && acceptedCount !== acceptedBefore;) {
		acceptedBefore = acceptedCount;
		// eslint-disable-next-line no-await-in-loop -- until a turn has accepted none
		await setImmediate();
	}

	server.off('connection', onConnection);
	NetServer.prototype.close.call(server);
}
