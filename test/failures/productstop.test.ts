import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {type Socket, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {RequestServer} from '../../src/daemon/requestserver.js';
import {DaemonPair} from '../../standins/daemonpair.js';

/** The stop must end within this time, whatever clients send, in ms. */
const MAX_STOP_MS = 4000;

/** More than a client's own buffer takes, and less than the daemon's. */
const LARGE_BYTES = 400_000;

/** The address of the first daemon. */
const FRONT = '127.0.3.1';

let pair: DaemonPair;
/** The clients' ports of the connections that the daemon has accepted; a stop may leave others to the kernel, which resets them unread. */
const acceptedPorts = new Set<number>();
const onAccepted = (message: unknown) => {
	const {socket: {localAddress, remotePort}} = message as {socket: Socket};
	if (localAddress === FRONT) {
		acceptedPorts.add(remotePort!);
	}
};

beforeEach(async () => {
	pair = new DaemonPair();
	await pair.start();
	acceptedPorts.clear();
	subscribe('net.server.socket', onAccepted);
});
afterEach(async () => {
	unsubscribe('net.server.socket', onAccepted);
	vi.restoreAllMocks();
	await pair.close();
});

const HEAD = 'GET /back/look HTTP/1.1\r\nhost: back\r\n';
const POST = 'POST /back/submit HTTP/1.1\r\nhost: back\r\ncontent-length: 6\r\n\r\n';

type Result = 'refused' | 'answered' | 'cut' | 'unread';

/** Sends the parts of one request, with pauses. @returns `unread` if the connection closed before the last part was sent, `refused` if it was never accepted */
async function send(port: number, parts: readonly string[], pauseMs = 0): Promise<Result> {
	return new Promise(resolve => {
		let sent = 0;
		let localPort = 0;
		const socket: Socket = connect(port, FRONT, () => {
			localPort = socket.localPort!;
			void (async () => {
				for (const part of parts) {
					if (!socket.destroyed) {
						socket.write(part);
						sent++;
					}

					// eslint-disable-next-line no-await-in-loop -- one part after the other
					await sleep(pauseMs);
				}
			})();
		});
		socket.on('data', () => {
			resolve('answered');
			socket.destroy();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(acceptedPorts.has(localPort) ? (sent < parts.length ? 'unread' : 'cut') : 'refused');
		});
	});
}

/** Stops the first daemon while clients keep sending, until it has stopped. @returns how many requests ended in each way */
async function stopUnderLoad(): Promise<Record<Result, number>> {
	pair.onRequest = socket => {
		setTimeout(() => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
		}, 30);
	};

	let isStopped = false;
	const stopped = (async () => {
		await pair.daemons[0].stop();
		isStopped = true;
	})();
	const startMs = Date.now();
	const results: Array<Promise<Result>> = [];
	// eslint-disable-next-line no-unmodified-loop-condition -- the stop ends it
	while (!isStopped && Date.now() - startMs < MAX_STOP_MS) {
		results.push(send(pair.port, [`${HEAD}\r\n`]), send(pair.port, [HEAD, '\r\n'], 60), send(pair.port, [`${POST}abc`, 'def'], 60));
		// eslint-disable-next-line no-await-in-loop -- for as long as the load lasts
		await sleep(5);
	}

	expect(isStopped).toBe(true);
	await stopped;
	const outcomes = await Promise.all(results);
	const counts = {
		refused: 0, answered: 0, cut: 0, unread: 0,
	};
	for (const outcome of outcomes) {
		counts[outcome]++;
	}

	return counts;
}

describe('a planned stop of a daemon of the product\'s own path under load', () => {
	it('ends, and answers every request that it has accepted', async () => {
		const counts = await stopUnderLoad();
		expect(counts).toMatchObject({cut: 0, unread: 0});
		expect(counts.answered).toBeGreaterThan(50);
	});

	// Guards against a request that runs though an answer before it closes the connection: its own can't be sent.
	it.each([
		{name: 'both read during the stop', readBefore: 0},
		{name: 'both read before it', readBefore: 2},
		{name: 'the first read before it', readBefore: 1},
	])('answers each of two pipelined requests, or doesn\'t run it: $name', async ({readBefore}) => {
		const ran: string[] = [];
		pair.onRequest = (socket, text) => {
			ran.push(...[...text.matchAll(/number: (?<number>\d)/gv)].map(({groups}) => groups!.number));
			setTimeout(() => {
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
			}, 150);
		};

		const requests = [1, 2].map(number => `${HEAD}number: ${number}\r\n\r\n`);
		const socket = connect(pair.port, FRONT);
		let text = '';
		socket.on('data', bytes => {
			text += bytes.toString();
		});
		const closed = new Promise(resolve => {
			socket.on('close', resolve);
		});
		socket.write(requests.slice(0, readBefore).join(''));
		await sleep(50);
		const stopped = pair.daemons[0].stop();
		await sleep(10);
		socket.write(requests.slice(readBefore).join(''));
		await Promise.all([closed, stopped]);
		expect(text.match(/HTTP\/1\.1 200/gv) ?? []).toHaveLength(ran.length);
	});

	// Guards against an answer that the kernel drops as it resets a closed connection on which a request still comes.
	it('sends an answer whole that its client reads late, with a request behind it', async () => {
		pair.onRequest = socket => {
			setTimeout(() => {
				socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${LARGE_BYTES}\r\n\r\n${'x'.repeat(LARGE_BYTES)}`);
			}, 150);
		};

		const socket = connect(pair.port, FRONT);
		socket.pause();
		socket.write(`${HEAD}\r\n`);
		await sleep(50);
		const stopped = pair.daemons[0].stop();
		await sleep(800);
		socket.write(`${HEAD}\r\n`);
		await sleep(100);
		let length = 0;
		const closed = new Promise(resolve => {
			socket.on('error', () => undefined);
			socket.on('data', bytes => {
				length += bytes.length;
			});
			socket.on('close', resolve);
		});
		socket.resume();
		await Promise.all([closed, stopped]);
		expect(length).toBeGreaterThan(LARGE_BYTES);
	});

	it('is reported if it closes at once', async () => {
		vi.spyOn(RequestServer.prototype, 'stopAccepting').mockImplementation(async function (this: RequestServer) {
			this.server.close();
			this.server.closeAllConnections();
		});
		const {cut, unread} = await stopUnderLoad();
		expect(cut + unread).toBeGreaterThan(0);
	});
});
