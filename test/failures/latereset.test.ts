import {type AddressInfo, type Server, createServer} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {MemoryStore} from '../../fakes/memorystore.js';
import {PlatformStore} from '../../platform/store.js';
import {SystemClock} from '../../src/clock/index.js';
import {EventLog, Logger} from '../../src/log/index.js';
import {TargetClient} from '../../src/relay/target/targetclient.js';
import {DaemonPair, SLOTS} from '../../standins/daemonpair.js';
import {Mesh, createRoute} from '../../standins/mesh.js';
import {MeshAdapter, createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';

const BATCHES = 3;
/** How many requests are under way at a time. */
const BATCH = 60;
const PART = 'x'.repeat(600);

let mesh: Mesh | undefined;
let pair: DaemonPair | undefined;
let server: Server | undefined;
afterEach(async () => {
	server?.close();
	await Promise.all([mesh?.close(), pair?.close()]);
	[mesh, pair, server] = [undefined, undefined, undefined];
});

/** Answers each request with these headers and this part of a body, and resets its connection. @returns the port */
async function listenAndReset(headers: string, part: string): Promise<number> {
	const resetting = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\n${headers}connection: close\r\n\r\n${part}`);
			setImmediate(() => {
				socket.resetAndDestroy();
			});
		});
	});
	server = resetting;
	await new Promise<void>(resolve => {
		resetting.listen(0, '127.0.0.1', resolve);
	});
	return (resetting.address() as AddressInfo).port;
}

// Guards against a part of an answer that passes for the whole: the operating system reports a reset behind unread bytes as an orderly end (MIXED).
describe('a reset right behind a part of an answer without a length', () => {
	it.each(['safe', 'unsafe'] as const)('is no end of the answer to a %s request', async repeatability => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair({routes: [createRoute('x', 'back', {repeatability})], back: {slots: 2 * BATCH}});
		back.target.behaviourOverride = ({headers, socket}) => {
			const id = String(headers[meshHeaders.attemptId]);
			socket.write(`HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.signature}: s/${id}\r\nconnection: close\r\n\r\n${PART}`);
			setImmediate(() => {
				socket.resetAndDestroy();
			});
		};

		const statuses: number[] = [];
		for (let batch = 0; batch < BATCHES; batch++) {
			// eslint-disable-next-line no-await-in-loop -- one batch after the other
			const answers = await Promise.all(Array.from({length: BATCH}, async (_, number) => call(port, '/x/', {headers: createAttemptHeaders(`${batch}-${number}`)})));
			statuses.push(...answers.map(({status}) => status));
		}

		expect(statuses.filter(status => status < 500).length).toBe(0);
	});

	it('is no end of the answer on the product\'s own path', async () => {
		const daemons = new DaemonPair();
		pair = daemons;
		await daemons.start();
		daemons.onRequest = socket => {
			socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${PART}`);
			setImmediate(() => {
				socket.resetAndDestroy();
			});
		};

		const statuses: number[] = [];
		for (let count = 0; count < BATCH; count++) {
			// eslint-disable-next-line no-await-in-loop -- its target runs few at a time
			statuses.push(...await Promise.all(Array.from({length: SLOTS}, async () => daemons.call('/back/submit', 'POST'))));
		}

		expect(statuses.filter(status => status < 500).length).toBe(0);
	});

	it('is no answer to a health check', async () => {
		const port = await listenAndReset(`${meshHeaders.instance}: i\r\n${meshHeaders.load}: 4\r\n`, PART);
		const clock = new SystemClock();
		const log = new EventLog(new Logger('a', 'info', () => undefined), clock);
		const client = new TargetClient({ip: '127.0.0.1', port}, new MeshAdapter(new MemoryStore().createView()), () => clock.nowMs(), log);
		await expect(client.probe('/health')).rejects.toThrow('reset');
	});

	it('is no answer of the store', async () => {
		const store = new PlatformStore(`127.0.0.1:${await listenAndReset('', '{"items":[')}`);
		await expect(store.list('kind', 'fresh')).rejects.toMatchObject({kind: 'unavailable'});
		await store.close();
	});
});
