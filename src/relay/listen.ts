import {type Server} from 'node:http';
import {type Address} from './settings.js';

/** Limits the connections that wait to be accepted; it is large because a host's clients may all connect at once. */
const BACKLOG = 1024;

/** Starts a server and waits until it listens. @throws when it can't bind the address */
export async function listen(server: Server, {ip, port}: Address): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, ip, BACKLOG, resolve);
	});
}
