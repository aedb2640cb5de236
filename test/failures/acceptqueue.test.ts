import {createServer} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {listen, stopListening} from '../../src/wire/index.js';

/** Nearly as many as the queue takes. */
const CLIENTS = 1000;
const HEAD = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

const server = createServer((_request, response) => {
	response.end('ok');
});
afterEach(() => {
	server.closeAllConnections();
});

/** Stops a server whose clients have all connected, none of which it has accepted yet. @returns how many got an answer */
async function countAnswered(stop: () => Promise<void>): Promise<number> {
	await listen(server, {ip: '127.0.0.1', port: 0});
	const {port} = server.address() as AddressInfo;
	const answers = Array.from({length: CLIENTS}, async () => new Promise<boolean>(resolve => {
		const socket = connect(port, '127.0.0.1');
		socket.write(HEAD);
		socket.on('data', () => {
			resolve(true);
			socket.destroy();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(false);
		});
	}));
	await stop();
	const results = await Promise.all(answers);
	return results.filter(Boolean).length;
}

describe('a stop while connections wait in the kernel\'s accept queue', () => {
	it('answers all that the kernel has accepted', async () => {
		expect(await countAnswered(async () => stopListening(server))).toBe(CLIENTS);
	});

	it('is reported if the listener closes at once', async () => {
		expect(await countAnswered(async () => {
			await sleep(0);
			server.close();
		})).toBeLessThan(CLIENTS);
	});
});
