import {
	type Server, type Socket, connect, createServer,
} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {
	Mesh, createRoute, createSiteSpec,
} from '../../standins/mesh.js';
import {createAttemptHeaders, meshHeaders} from '../../standins/meshadapter.js';
import {HEALTH_PATH, MeshTarget} from '../../standins/meshtarget.js';

/** How long the load lasts; a minute and more by hand. */
const LOAD_MS = Number(process.env.MEMORY_MS ?? 4000);
const DEADLINE_MS = 1000;
/** Both daemons, the target and the clients together. */
const MAX_GROWTH_BYTES = 48 * 1024 * 1024;
const CHUNK = 'x'.repeat(16_384);

/** A target that sends without end, beside a daemon that checks its health. */
class EndlessTarget extends MeshTarget {
	readonly #server: Server;

	constructor() {
		super({
			id: 'i-back', service: 'back', slots: 20, workMs: 0,
		});
		this.#server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.on('data', bytes => {
				answer(socket, bytes.toString('latin1'));
			});
		});
	}

	override get port(): number {
		return (this.#server.address() as {port: number}).port;
	}

	override async listen(): Promise<void> {
		await super.listen();
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	override async close(): Promise<void> {
		this.#server.close();
		await super.close();
	}
}

function answer(socket: Socket, request: string): void {
	const id = new RegExp(String.raw`^${meshHeaders.attemptId}: (\S+)`, 'imv').exec(request)?.[1] ?? '';
	const head = `HTTP/1.1 200 OK\r\n${meshHeaders.attemptId}: ${id}\r\n${meshHeaders.signature}: s/${id}\r\n`;
	if (request.includes(` ${HEALTH_PATH} `) || request.includes('/x/body')) {
		socket.write(`${head}\r\n`);
		writeForEver(socket);
	} else if (request.includes('/x/idle')) {
		socket.write(`${head}content-length: 2\r\n\r\nok`);
		setTimeout(() => {
			writeForEver(socket);
		}, 20);
	} else {
		socket.write(`${head}content-length: 1000\r\n\r\n`);
		const timer = setInterval(() => {
			socket.write('x');
		}, 1000);
		socket.on('close', () => {
			clearInterval(timer);
		});
	}
}

function writeForEver(socket: Socket): void {
	const write = () => {
		let isWritable = true;
		while (isWritable && !socket.destroyed) {
			isWritable = socket.write(CHUNK);
		}
	};

	socket.on('drain', write);
	write();
}

/** Sends requests, one after the other, and drops what comes. @param isReading whether the client reads at all */
async function sendUntil(endMs: number, port: number, path: string, isReading: boolean): Promise<number> {
	const received = {bytes: 0};
	for (let index = 0; Date.now() < endMs; index++) {
		const headers = Object.entries(createAttemptHeaders(`${path}${index}${isReading}`, DEADLINE_MS)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		const socket = connect(port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write(`GET ${path} HTTP/1.1\r\n${headers}\r\n`);
		if (isReading) {
			socket.on('data', bytes => {
				received.bytes += bytes.length;
			});
		}

		// eslint-disable-next-line no-await-in-loop -- one after the other
		await sleep(DEADLINE_MS / 2);
		socket.destroy();
	}

	return received.bytes;
}

let mesh: Mesh;
afterEach(async () => {
	await mesh.close();
});

describe('the memory of daemons whose target sends without end', () => {
	it('stays as it is, whatever the target sends and whether clients read it', async () => {
		mesh = new Mesh({isFirstStart: false});
		mesh.configure(createSiteSpec([createRoute('x', 'back', {timeoutMs: DEADLINE_MS})]));
		const front = await mesh.addHost('front', {
			id: 'i-front', service: 'front', slots: 4, workMs: 5,
		});
		await mesh.addHostOf('back', new EndlessTarget());
		await mesh.settle();
		const {port} = front.settings.listen.requests;
		const endMs = Date.now() + LOAD_MS;
		const sending = Promise.all(['/x/body', '/x/slow', '/x/idle'].flatMap(path => [true, false].map(async isReading => sendUntil(endMs, port, path, isReading))));
		const samples: number[] = [];
		while (Date.now() < endMs) {
			// eslint-disable-next-line no-await-in-loop -- for as long as the load lasts
			await sleep(LOAD_MS / 40);
			samples.push(process.memoryUsage().rss);
		}

		const received = await sending;
		expect(received[0]).toBeGreaterThan(1_000_000);
		const settled = Math.max(...samples.slice(samples.length / 4, samples.length / 2));
		const later = Math.max(...samples.slice(samples.length / 2));
		if (process.env.MEMORY_MS !== undefined) {
			console.log('MB', samples.map(bytes => Math.round(bytes / 1e6)).join(' '), 'received', received.join(' '));
		}

		expect(later - settled).toBeLessThan(MAX_GROWTH_BYTES);
	}, LOAD_MS + 30_000);
});
