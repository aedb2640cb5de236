import {once} from 'node:events';
import {type Server} from 'node:http';
import {sleep} from '../clock/index.js';

/** Limits the connections that wait to be accepted; it is large because a host's clients may all connect at once. */
const BACKLOG = 1024;
/** How long a server waits before it tries again to bind an address that another process has, in ms. */
const RETRY_INTERVAL_MS = 50;

type ListenAddress = {readonly ip: string; readonly port: number};

/**
 * Starts a server and waits until it listens.
 * @param waitMs how long another process may keep the address
 * @throws when it can't bind the address
 */
export async function listen(server: Server, address: ListenAddress, waitMs = 0): Promise<void> {
	for (let leftMs = waitMs; ; leftMs -= RETRY_INTERVAL_MS) {
		try {
			// eslint-disable-next-line no-await-in-loop -- each try follows a failed one
			await tryListen(server, address);
			return;
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE' || leftMs <= 0) {
				throw error;
			}

			// eslint-disable-next-line no-await-in-loop -- waits for the other process
			await sleep(RETRY_INTERVAL_MS);
		}
	}
}

async function tryListen(server: Server, {ip, port}: ListenAddress): Promise<void> {
	const listening = once(server, 'listening');
	server.listen(port, ip, BACKLOG);
	await listening;
}
