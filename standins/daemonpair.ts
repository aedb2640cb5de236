import {
	type AddressInfo, type Server, type Socket, createServer,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {type Settings, generateConfiguration, parseSettings} from '../src/config/index.js';
import {SITE_OBJECT_NAME, serviceObjectName} from '../src/core/index.js';
import {Daemon} from '../src/daemon/index.js';
import {ConfigWriter, PlatformClient} from '../src/platform/index.js';
import {header} from '../src/wire/index.js';
import {type PlatformFaults, PlatformStandIn} from './platform.js';
import {findFreePorts} from './ports.js';

const PLATFORM_HOST = '127.0.0.1';
const FRONT = '127.0.3.1';
const BACK = '127.0.3.2';
const HOSTS = [FRONT, BACK];
const IDS = ['front', 'back'];
const ANNOUNCE_INTERVAL_MS = 500;
/** How many requests the target runs at once. */
export const SLOTS = 4;
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
	readonly #settingOverrides: Partial<Settings>;
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
	#platformUrl = '';

	/** @param settingOverrides settings of both daemons that differ from the defaults */
	constructor(settingOverrides: Partial<Settings> = {}) {
		this.#settingOverrides = settingOverrides;
	}

	/** The faults of the platform. */
	get faults(): PlatformFaults {
		return this.#platform.faults;
	}

	get front(): string {
		return `http://${FRONT}:${this.port}`;
	}

	get back(): string {
		return `http://${BACK}:${this.port}`;
	}

	get daemons(): readonly Daemon[] {
		return this.#daemons;
	}

	/** The platform's address, from `startPlatform` or `start` on. */
	get platformUrl(): string {
		return this.#platformUrl;
	}

	/** Starts the platform alone, so that a test can write to it before the daemons read it. */
	async startPlatform(): Promise<void> {
		const platformPort = await this.#platform.listen(PLATFORM_HOST, 0);
		this.#platformUrl = `http://${PLATFORM_HOST}:${platformPort}`;
	}

	async start(): Promise<void> {
		if (this.#platformUrl === '') {
			await this.startPlatform();
		}

		[this.port] = await findFreePorts(1);
		await this.configure(['look', 'submit']);
		await new Promise<void>(resolve => {
			this.#target.listen(0, BACK, resolve);
		});
		for (const index of IDS.keys()) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await this.startDaemon(index);
		}

		await this.comeBack();
		// eslint-disable-next-line no-await-in-loop -- until the daemons know each other
		while (await this.call('/back/look') !== 200) {
			// eslint-disable-next-line no-await-in-loop -- until the daemons know each other
			await sleep(50);
		}
	}

	/** Writes a configuration in which the target has these requests. */
	async configure(names: ReadonlyArray<'look' | 'submit'>): Promise<void> {
		await writeConfiguration(this.#platformUrl, names);
	}

	/** Starts the first or the second daemon, in place of the one that ran under its id before. */
	async startDaemon(index: number): Promise<void> {
		const [id, host] = [IDS[index], HOSTS[index]];
		const other = 1 - index;
		const daemon = new Daemon(parseSettings({
			id,
			region: 'r',
			failureDomain: id,
			listen: {host, port: this.port},
			platform: {url: this.#platformUrl},
			seeds: [{id: IDS[other], host: HOSTS[other], port: this.port}],
			siteKey: 'a-key-of-the-tests',
			log: {level: 'error'},
			...this.#settingOverrides,
		}));
		await daemon.start();
		this.#daemons[index] = daemon;
	}

	/** The target says that it leaves, and announces itself no more. */
	async leave(): Promise<void> {
		clearInterval(this.#timer);
		const {body} = await request(this.#targetUrl, {method: 'DELETE', dispatcher: this.#agent});
		await body.dump();
	}

	/** The target announces itself from now on. */
	async comeBack(): Promise<void> {
		this.#timer = setInterval(() => {
			void this.#announce();
		}, ANNOUNCE_INTERVAL_MS);
		await this.#announce();
	}

	/** Sends a request to the first daemon. @returns its status; 0 if the connection broke */
	async call(path: string, method: 'GET' | 'POST' = 'GET', headers: Record<string, string> = {}): Promise<number> {
		const {status} = await this.fetch(path, method, headers);
		return status;
	}

	/** Does the same. @returns the body, too */
	async fetch(path: string, method: 'GET' | 'POST' = 'GET', headers: Record<string, string> = {}): Promise<{status: number; text: string}> {
		try {
			const {statusCode, body} = await request(`${this.front}${path}`, {
				method, headers, headersTimeout: 5000, bodyTimeout: 5000,
			});
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

	get #targetUrl(): string {
		return `http://${BACK}:${this.port}${header.TARGET_PATH}`;
	}

	async #announce(): Promise<void> {
		try {
			const {body} = await request(this.#targetUrl, {
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

async function writeConfiguration(url: string, names: ReadonlyArray<'look' | 'submit'>): Promise<void> {
	const {site, services} = generateConfiguration({
		site: 'test', callers: {resendForMs: 1000, clockErrorMs: 1}, services: [{
			name: 'back', upstreams: 1, slots: SLOTS, connections: SLOTS, requests: names.map(name => ({
				name, path: `/${name}`, waitMs: WAIT_MS, calls: [], ...(name === 'look' ? {kind: 'lookup', method: 'GET'} : {kind: 'submission', method: 'POST'}),
			})),
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
