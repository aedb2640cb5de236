import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {RequestServer} from '../../src/daemon/requestserver.js';
import {DaemonPair, SLOTS} from '../../standins/daemonpair.js';

const WORK_MS = 200;
const PAUSE_MS = 60;
const HOSTS = ['127.0.3.1', '127.0.3.2'];

let pair: DaemonPair;
beforeEach(async () => {
	pair = new DaemonPair();
	await pair.start();
});
afterEach(async () => {
	vi.restoreAllMocks();
	await pair.close();
});

/** Sends a request on a connection of its own to a daemon. @returns `cut` if it was accepted and got no answer */
async function sendRaw(host: string): Promise<'refused' | 'answered' | 'cut'> {
	return new Promise(resolve => {
		let isAccepted = false;
		const socket = connect(pair.port, host, () => {
			isAccepted = true;
			socket.write('GET /none/ HTTP/1.1\r\nhost: back\r\n\r\n');
		});
		socket.on('data', () => {
			resolve('answered');
			socket.destroy();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(isAccepted ? 'cut' : 'refused');
		});
	});
}

/** Starts a daemon while the one before it drains, under load. @returns what no caller or target may see */
async function handOver(index: number): Promise<string[]> {
	let running = 0;
	let mostRunning = 0;
	const ran: string[] = [];
	pair.onRequest = (socket, text) => {
		ran.push(/x-id: (?<id>\w+)/v.exec(text)?.groups?.id ?? 'none');
		mostRunning = Math.max(mostRunning, ++running);
		setTimeout(() => {
			running--;
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
		}, WORK_MS);
	};

	const faults: string[] = [];
	const ids: string[] = [];
	const send = async () => {
		const id = `a${ids.length}`;
		ids.push(id);
		return pair.call('/back/submit', 'POST', {'x-id': id});
	};

	const calls = Array.from({length: SLOTS}, async () => send());
	await sleep(50);
	const predecessor = pair.daemons[index];
	let isStopped = false;
	const stopping = (async () => {
		await predecessor.stop();
		isStopped = true;
	})();
	let hasStarted = false;
	const starting = (async () => {
		try {
			await pair.startDaemon(index);
		} catch (error) {
			faults.push((error as Error).message);
		}

		hasStarted = true;
	})();
	// eslint-disable-next-line no-unmodified-loop-condition -- the two daemons end it
	while (!isStopped || !hasStarted) {
		// eslint-disable-next-line no-await-in-loop -- for as long as the hand-over takes
		await sleep(PAUSE_MS);
		// eslint-disable-next-line no-await-in-loop -- as above
		faults.push(...(await sendRaw(HOSTS[index]) === 'cut' ? ['an accepted request was cut'] : []));
		calls.push(send());
	}

	await Promise.all([stopping, starting]);
	const statuses = await Promise.all(calls);
	await expect.poll(async () => send(), {timeout: 5000}).toBe(200);
	return [
		...faults,
		...(mostRunning > SLOTS ? ['more runs at once than slots'] : []),
		...(new Set(ran).size < ran.length ? ['a call ran twice'] : []),
		...statuses.flatMap((status, place) => ran.includes(ids[place]) === (status === 200) ? [] : [`${ids[place]}: ${status}`]),
	];
}

describe('a daemon of the product\'s own path that starts while the one before it drains', () => {
	it.each([['of the clients', 0], ['beside the target', 1]])('waits until that one has ended, and then serves: the one %s', async (_name, index) => {
		expect(await handOver(index)).toEqual([]);
	});

	it('is reported if the address is given up early', async () => {
		const {closeAfterResponses} = RequestServer.prototype;
		vi.spyOn(RequestServer.prototype, 'closeAfterResponses').mockImplementation(function (this: RequestServer) {
			closeAfterResponses.call(this);
			void this.stopAccepting();
		});
		expect(await handOver(0)).not.toEqual([]);
	});
});
