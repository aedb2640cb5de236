import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import fc from 'fast-check';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {WebSocket, WebSocketServer} from 'ws';
import {DaemonPair} from '../../standins/daemonpair.js';
import {Mesh} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {call} from '../../standins/meshtarget.js';
import {joinRecordSchema} from '../../src/config/index.js';
import {FrameTag} from '../../src/relay/peers/frame.js';
import {PEER_PATH} from '../../src/relay/peers/link.js';
import {pack} from '../../src/wire/index.js';

/** The seed and the number of frames; more with FUZZ_FRAMES by hand. */
const SEED = 7;
const FRAMES = Number(process.env.FUZZ_FRAMES ?? 250);

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

const templateArbitrary = fc.record({
	route: fc.constantFrom<unknown>('x', 1, null), rank: fc.constantFrom<unknown>(1, 'a', Number.NaN), repeatability: fc.constantFrom<unknown>('safe', 'odd'),
	method: fc.constantFrom<unknown>('GET', 'a b', 7), callerService: fc.constantFrom<unknown>('front', 3, 'a\r\nb'),
	headers: fc.constantFrom<unknown>([], ['a'], ['a', 'b\r\nc: d'], ['connection', 'x'], ['upgrade', 'x'], [1, 2], 'text', null, {}),
	status: fc.constantFrom<unknown>(200, 99, 'x', 100, 1e9), isUnframed: fc.boolean(), reached: fc.constantFrom<unknown>([], ['back'], 5, [7]), isFailedBelow: fc.boolean(), signals: fc.constantFrom<unknown>(null, [], [1, 2], 'x'),
}, {requiredKeys: []});
const fieldArbitrary = fc.oneof(
	fc.constantFrom<unknown>(null, true, false, 0, 1, 2, -1, 1.5, Number.NaN, Number.POSITIVE_INFINITY, 2 ** 60, '', 'x', '/x/', 'i-back', 'back', 'front', 'f'.repeat(70_000)),
	fc.constantFrom<unknown>([], [[]], [null], [['back', 1]], [['back', Number.NaN, null]], [['x', 'y', {}, []]], {}, {a: {b: {c: []}}}, Buffer.from('bytes')),
	templateArbitrary,
	fc.jsonValue({maxDepth: 3}),
);
/** A frame whose second field is nested this deeply, by its bytes: to encode it would exhaust the stack here. */
const deepFrame = (tag: number, depth: number) => Buffer.from([0x92, tag, ...Array.from({length: depth}, () => 0x91), 0x90]);

const frameArbitrary = fc.tuple(fc.constantFrom(...Object.values(FrameTag), 99), fc.array(fieldArbitrary, {maxLength: 14})).map(([tag, fields]): unknown[] => [tag, ...fields]);
/** Calls that are sound up to their template. */
const callFrameArbitrary = fc.tuple(fc.integer({min: 1, max: 99}), templateArbitrary, fc.constantFrom('/x/', '/x/ y', '/x/\r\n'), fc.constantFrom(1000, Number.NaN, -5))
	.map(([id, template, path, leftMs]): unknown[] => [FrameTag.call, id, id, template, 'i-back', leftMs, 0, `fuzz-${id}`, path, null, 1, 0, null]);

async function expectServes(port: number): Promise<void> {
	await expect.poll(async () => {
		const {status} = await call(port, '/x/', {headers: createAttemptHeaders(`after-${Math.random()}`)});
		return status;
	}, {timeout: 5000}).toBe(200);
}

describe('a malformed message', () => {
	it('from a peer that opened a link ends that link at most', async () => {
		mesh = new Mesh();
		const {back, port} = await mesh.addPair();
		const frames = fc.sample(fc.oneof(frameArbitrary, callFrameArbitrary), {seed: SEED, numRuns: FRAMES});
		const deepFrames = [2000, 100_000].flatMap(depth => Object.values(FrameTag).map(tag => deepFrame(tag, depth)));
		for (const bytes of [...frames.map(frame => pack(frame)), ...deepFrames]) {
			const socket = new WebSocket(`ws://127.0.0.1:${back.settings.listen.peers.port}${PEER_PATH}`);
			socket.on('error', () => undefined);
			// eslint-disable-next-line no-await-in-loop -- one link after the other
			await new Promise(resolve => {
				socket.on('open', () => {
					socket.send(bytes);
					socket.send(Buffer.from([0xC1]));
					resolve(undefined);
				});
			});
		}

		await sleep(300);
		expect(back.relay.runningCalls).toBe(0);
		await expectServes(port);
	});

	it('from a peer to which a link was opened ends that link at most, and its calls', async () => {
		mesh = new Mesh();
		const {front, port} = await mesh.addPair();
		const frames = fc.sample(frameArbitrary, {seed: SEED, numRuns: FRAMES});
		const server = createServer();
		const webSockets = new WebSocketServer({server, path: PEER_PATH});
		let index = 0;
		webSockets.on('connection', socket => {
			socket.on('error', () => undefined);
			socket.on('message', () => {
				// Answers the call with the first ids, among others
				for (const id of [1, 2]) {
					const [tag, ...fields] = frames[index++ % frames.length];
					socket.send(pack([tag, id, ...fields.slice(1)]));
				}
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		mesh.store.set('comfreydyke-hosts', 'odd', {
			host: 'odd', failureDomain: 'a', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, target: {
				id: 'i-odd', service: 'back', slots: 4, state: 'ready',
			},
		});
		await sleep(600);
		const answers = await Promise.all(Array.from({length: FRAMES}, async (_, number) => {
			await sleep(number * 6);
			return call(port, '/x/', {headers: createAttemptHeaders(`odd-${number}`, 700)});
		}));
		expect(answers.length).toBe(FRAMES);
		expect(index).toBeGreaterThan(FRAMES / 10);
		webSockets.close();
		server.close();
		server.closeAllConnections();
		await expectServes(front.settings.listen.requests.port);
	}, 30_000);

	it('from the store names no host and brings nothing into force', async () => {
		mesh = new Mesh();
		const {port} = await mesh.addPair();
		for (const [number, value] of fc.sample(fieldArbitrary, {seed: SEED, numRuns: 100}).entries()) {
			mesh.store.set('comfreydyke-hosts', `odd-${number}`, value);
			mesh.store.set('comfreydyke-hosts', `odder-${number}`, {
				host: `odder-${number}`, failureDomain: value, address: value, target: value,
			});
		}

		await sleep(600);
		await expectServes(port);
	});

	// Guards against daemons that end again and again because of one entry to whose address no connection can be opened.
	it.each(['127.0.0.1:83000', '127.0.0.1:0', '1:1', '.:1', '127.0.0.256:80', '1.2.3.4.5:80', '127.0.0.1:99999999999999999999'])('from the store names no host if a connection can\'t be opened to its address: %s', async address => {
		mesh = new Mesh();
		const {port} = await mesh.addPair();
		const unexpected: Error[] = [];
		const onUnexpected = (error: Error) => {
			unexpected.push(error);
		};

		process.prependListener('uncaughtException', onUnexpected);
		mesh.store.set('comfreydyke-hosts', 'odd', {
			host: 'odd', failureDomain: 'a', address, target: {
				id: 'i-odd', service: 'back', slots: 4, state: 'ready',
			},
		});
		// Some maintenance intervals
		await sleep(1200);
		await expectServes(port);
		process.off('uncaughtException', onUnexpected);
		expect(unexpected).toEqual([]);
		expect(mesh.logLines.some(line => line.includes('event=host_rejected'))).toBe(true);
	});

	it('from the platform names no daemon of the product\'s own path if a connection can\'t be opened to its address', () => {
		const isValid = (address: string) => joinRecordSchema.safeParse({id: 'odd', address, startMs: 0}).success;
		expect(['127.0.0.1:83000', 'a b:80', '127.0.0.256:80'].map(address => isValid(address))).toEqual([false, false, false]);
		expect(['127.0.0.1:8300', '[::1]:8300', 'host:80'].map(address => isValid(address))).toEqual([true, true, true]);
	});

	it('from a client is refused, and ends its own connection at most', async () => {
		mesh = new Mesh();
		const {port} = await mesh.addPair();
		const head = 'GET /x/ HTTP/1.1\r\nhost: site\r\nattempt-id: odd\r\ndeadline-ms: 300\r\n';
		const requests = ['\0\0\0',
			'GET / HTTP/9.9\r\n\r\n',
			'CONNECT a:1 HTTP/1.1\r\nhost: site\r\n\r\n',
			`${head}upgrade: websocket\r\nconnection: upgrade\r\n\r\n`,
			`${head}expect: 100-continue\r\n\r\n`,
			`${head}expect: odd\r\n\r\n`,
			`${head}transfer-encoding: odd\r\n\r\n`,
			`${head}content-length: -1\r\n\r\n`,
			`${head}content-length: 5\r\ncontent-length: 6\r\n\r\n`,
			`${head}x: \u00FF\u0080\r\n\r\n`,
			`${head}: y\r\n\r\n`,
			`${head}trailer: x\r\ntransfer-encoding: chunked\r\n\r\n5;${'e'.repeat(30_000)}\r\n`,
			'GET /x/\u00FF\u0080 HTTP/1.1\r\nhost: site\r\nattempt-id: odd\r\n\r\n',
			'OPTIONS * HTTP/1.1\r\nhost: site\r\nattempt-id: odd\r\n\r\n',
			`${head}keep-alive: x\r\nproxy-connection: x\r\nte: x\r\n\r\n`,
			`${head}x: ${'y'.repeat(80_000)}\r\n\r\n`,
			'GET /x/ HTTP/1.1\r\nhost: site\r\nattempt-id: \r\ndeadline-ms: 1e999\r\n\r\n',
			'GET /x/ HTTP/1.1\r\nhost: site\r\nattempt-id: o\r\ndeadline-ms: -1\r\n\r\n',
			'GET http://site/x/ HTTP/1.1\r\nhost: site\r\nattempt-id: o\r\n\r\n',
			'GET /x/?a#b HTTP/1.1\r\nhost: site\r\nattempt-id: o\r\n\r\n'];
		const random = fc.sample(fc.uint8Array({minLength: 1, maxLength: 200}), {seed: SEED, numRuns: 60}).map(bytes => Buffer.from(bytes));
		for (const request of [...requests.map(text => Buffer.from(text, 'latin1')), ...random]) {
			const socket = connect(port, '127.0.0.1');
			socket.on('error', () => undefined);
			socket.write(request);
			setTimeout(() => {
				socket.destroy();
			}, 500);
		}

		await sleep(900);
		await expectServes(port);
		expect(mesh.logLines.filter(line => line.includes('target_unreachable'))).toEqual([]);
	});

	// Guards against a request of one client that pauses a target and has its queue refused.
	it('from a client is answered 400 if a header has no name, on both paths', async () => {
		mesh = new Mesh();
		const {port} = await mesh.addPair();
		const pair = new DaemonPair();
		await pair.start();
		const answers = await Promise.all([
			{host: '127.0.0.1', port, path: '/x/'},
			{host: '127.0.3.1', port: pair.port, path: '/back/look'},
		].map(async ({host, port, path}) => new Promise<string>(resolve => {
			const socket = connect(port, host);
			socket.write(`GET ${path} HTTP/1.1\r\nhost: site\r\nattempt-id: odd\r\ndeadline-ms: 300\r\n: y\r\n\r\n`);
			socket.once('data', bytes => {
				socket.destroy();
				resolve(bytes.toString().split(' ')[1]);
			});
		})));
		await pair.close();
		expect(answers).toEqual(['400', '400']);
	});

	// Guards against a 400 that a client takes for the answer to a request that runs.
	it('from a client is no answer to a request before it, on both paths', async () => {
		mesh = new Mesh();
		const {port} = await mesh.addPair({back: {workMs: 300}});
		const pair = new DaemonPair();
		await pair.start();
		pair.onRequest = socket => {
			setTimeout(() => {
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
			}, 300);
		};

		const received = await Promise.all([
			{host: '127.0.0.1', port, path: '/x/'},
			{host: '127.0.3.1', port: pair.port, path: '/back/look'},
		].map(async ({host, port, path}) => new Promise<string>(resolve => {
			const socket = connect(port, host);
			let text = '';
			socket.on('data', bytes => {
				text += bytes.toString();
			});
			socket.on('error', () => undefined);
			socket.on('close', () => {
				resolve(text);
			});
			socket.write(`GET ${path} HTTP/1.1\r\nhost: site\r\nattempt-id: a\r\ndeadline-ms: 2000\r\n\r\n`);
			setTimeout(() => {
				socket.write('\0\0\0\r\n\r\n');
			}, 100);
		})));
		await pair.close();
		expect(received.map(text => text.split('\r\n')[0])).not.toContain('HTTP/1.1 400 Bad Request');
	});
});
