import {type Server} from 'node:http';
import {type Address} from './settings.js';

/** Connections that may wait to be taken, for a host whose clients all connect at once. */
const BACKLOG = 1024;

/** Starts a server. @throws when the address can't be had */
export async function listen(server: Server, {ip, port}: Address): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, ip, BACKLOG, resolve);
	});
}
