import {connect} from 'node:net';
import {afterSockets} from '../../clock/index.js';

/**
 * Tells whether a host accepts connections at an address: its kernel does so while the process that listens is held up,
 * and doesn't once the process, the host or the network is gone.
 * @param maxMs how long it waits for the connection, in ms
 */
export async function acceptsConnections(address: string, maxMs: number): Promise<boolean> {
	const colon = address.lastIndexOf(':');
	const socket = connect(Number(address.slice(colon + 1)), address.slice(0, colon));
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			afterSockets(() => {
				socket.destroy();
			});
		}, maxMs);
		socket.on('connect', () => {
			resolve(true);
			socket.destroy();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			clearTimeout(timer);
			resolve(false);
		});
	});
}
