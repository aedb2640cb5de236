import {
	type AddressInfo, type Server, type Socket, createServer,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {generateConfiguration, parseSettings} from '../src/config/index.js';
import {SITE_OBJECT_NAME, serviceObjectName} from '../src/core/index.js';
import {Daemon} from '../src/daemon/index.js';
import {ConfigWriter, PlatformClient} from '../src/platform/index.js';
import {header} from '../src/wire/index.js';
import {findFreePorts} from './mesh.js';
import {PlatformStandIn} from './platform.js';

const PLATFORM_HOST = '127.0.0.1';
const FRONT = '127.0.3.1';
const BACK = '127.0.3.2';
const ANNOUNCE_INTERVAL_MS = 500;
const SLOTS = 4;
const WAIT_MS = 800;

/** Handles what arrives on a connection to the target. */
export type OnRequest = (socket: Socket, text: string) => void;

/**
 * Two daemons of the product's own path: clients connect to the first, and the target beside the second runs the
 * service `back`, whose path `/look` is safe to repeat and `/submit` isn't.
 */
export class DaemonPair {
	/** The port on which the daemons listen, each on its own address. */
	port = 0;
	/** What the target does with each request; it answers 200 unless set. */
	onRequest: OnRequest | undefined;
	readonly #platform = new PlatformStandIn();
	readonly #agent = new Agent({localAddress: BACK});
	readonly #sockets = new Set<Socket>();
	readonly #daemons: Daemon[] = [];
	readonly #target: Server = createServer(socket => {
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
		socket.on('data', bytes => {
			const text = bytes.toString('latin1');
			if (this.onRequest === undefined) {
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
			} else {
				this.onRequest(socket, text);
			}
		});
	});

	#timer: NodeJS.Timeout | undefined;

	get front(): string {
		return `http://${FRONT}:${this.port}`;
	}

	get daemons(): readonly Daemon[] {
		return this.#daemons;
	}

	async start(): Promise<void> {
		const platformPort = await this.#platform.listen(PLATFORM_HOST, 0);
		[this.port] = await findFreePorts(1);
		const url = `http://${PLATFORM_HOST}:${platformPort}`;
		await writeConfiguration(url);
		await new Promise<void>(resolve => {
			this.#target.listen(0, BACK, resolve);
		});
		for (const [id, host] of [['front', FRONT], ['back', BACK]]) {
			const daemon = new Daemon(parseSettings({
				id, region: 'r', failureDomain: id, listen: {host, port: this.port}, platform: {url}, siteKey: 'a-key-of-the-tests', log: {level: 'error'},
			}));
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await daemon.start();
			this.#daemons.push(daemon);
		}

		this.#timer = setInterval(() => {
			void this.#announce();
		}, ANNOUNCE_INTERVAL_MS);
		await this.#announce();
		// eslint-disable-next-line no-await-in-loop -- until the daemons know each other
		while (await this.call('/back/look') !== 200) {
			// eslint-disable-next-line no-await-in-loop -- until the daemons know each other
			await sleep(50);
		}
	}

	/** Sends a request to the first daemon. @returns its status; 0 if the connection broke */
	async call(path: string, method: 'GET' | 'POST' = 'GET'): Promise<number> {
		const {status} = await this.fetch(path, method);
		return status;
	}

	/** Does the same. @returns the body, too */
	async fetch(path: string, method: 'GET' | 'POST' = 'GET'): Promise<{status: number; text: string}> {
		try {
			const {statusCode, body} = await request(`${this.front}${path}`, {method, headersTimeout: 5000, bodyTimeout: 5000});
			return {status: statusCode, text: await body.text()};
		} catch {
			return {status: 0, text: ''};
		}
	}

	async close(): Promise<void> {
		clearInterval(this.#timer);
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await Promise.all(this.#daemons.map(async daemon => daemon.stop()));
		this.#target.close();
		this.#platform.close();
		await this.#agent.close();
	}

	async #announce(): Promise<void> {
		try {
			const {body} = await request(`http://${BACK}:${this.port}${header.TARGET_PATH}`, {
				method: 'PUT', dispatcher: this.#agent, body: JSON.stringify({
					service: 'back', port: (this.#target.address() as AddressInfo).port, slots: SLOTS, connections: SLOTS,
				}),
			});
			await body.dump();
		} catch {
			// The next announcement is the retry.
		}
	}
}

async function writeConfiguration(url: string): Promise<void> {
	const {site, services} = generateConfiguration({
		site: 'test', callers: {resendForMs: 1000, clockErrorMs: 1}, services: [{
			name: 'back', upstreams: 1, slots: SLOTS, connections: SLOTS, requests: [
				{
					name: 'look', kind: 'lookup', method: 'GET', path: '/look', waitMs: WAIT_MS, calls: [],
				},
				{
					name: 'submit', kind: 'submission', method: 'POST', path: '/submit', waitMs: WAIT_MS, calls: [],
				},
			],
		}],
	});
	const writer = new ConfigWriter(new PlatformClient(url, 2000));
	await writer.write(SITE_OBJECT_NAME, site, await writer.read(SITE_OBJECT_NAME));
	for (const [name, spec] of Object.entries(services)) {
		const object = serviceObjectName(name);
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await writer.write(object, spec, await writer.read(object));
	}
}
