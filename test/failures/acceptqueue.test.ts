import {createServer} from 'node:http';
import {type AddressInfo, type Socket, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {listen, stopListening} from '../../src/wire/index.js';

/** Nearly as many as the queue takes. */
const CLIENTS = 1000;
/** Longer than a busy machine takes to accept them all. */
const LONG_MS = 20_000;
const TURN_MS = 5;
const CONNECTIONS_PER_TURN = 3;
/** Many more than the turns of the stop's time. */
const MAX_TURNS = 400;
const MAX_STOP_MS = 200;
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
		expect(await countAnswered(async () => stopListening(server, LONG_MS))).toBe(CLIENTS);
	});

	it('is reported if the listener closes at once', async () => {
		expect(await countAnswered(async () => {
			await sleep(0);
			server.close();
		})).toBeLessThan(CLIENTS);
	});

	// Guards against a stop that outlasts the grace period: a busy process accepts one connection in each turn of its event loop.
	it('ends although clients connect faster than the process accepts', async () => {
		await listen(server, {ip: '127.0.0.1', port: 0});
		const {port} = server.address() as AddressInfo;
		const sockets: Socket[] = [];
		let turns = 0;
		let isStopped = false;
		const takeTurn = () => {
			turns++;
			const endMs = performance.now() + TURN_MS;
			while (performance.now() < endMs) {
				// Keeps the process busy.
			}

			for (let count = 0; count < CONNECTIONS_PER_TURN; count++) {
				sockets.push(connect(port, '127.0.0.1').on('error', () => undefined));
			}

			if (!isStopped && turns < MAX_TURNS) {
				setImmediate(takeTurn);
			}
		};

		takeTurn();
		await stopListening(server, MAX_STOP_MS);
		isStopped = true;
		expect(turns).toBeLessThan(MAX_TURNS);
		for (const socket of sockets) {
			socket.destroy();
		}
	});
});
