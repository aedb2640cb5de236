import {createServer} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {MemoryStore} from '../fakes/memorystore.js';
import {type Route, type SiteSpec} from '../src/mesh/index.js';
import {Relay, type RelaySettings} from '../src/relay/index.js';
import {MeshAdapter} from './meshadapter.js';
import {MeshTarget, type MeshTargetOptions} from './meshtarget.js';

const ANNOUNCE_MS = 500;

/** A daemon, its target, and their ports. */
export type MeshHost = {readonly name: string; readonly relay: Relay; readonly target: MeshTarget; readonly settings: RelaySettings; stop: () => Promise<void>};

/** A route with the usual values. */
export function createRoute(name: string, service: string, more: Partial<Route> = {}): Route {
	return {
		name, host: 'site', prefix: `/${name}/`, repeatability: 'safe', attempts: 2, timeoutMs: 2000, objectiveMs: 1000, rank: 1, destinations: [{service, weight: 1}], ...more,
	};
}

/** A configuration of these routes. */
export function createSiteSpec(routes: readonly Route[], version = 1): SiteSpec {
	const names = new Set(routes.flatMap(({destinations}) => destinations.map(({service}) => service)));
	return {
		version,
		routes,
		services: [...names].map(name => ({name, maxConnections: 100, healthPath: '/health'})),
		limits: {
			headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
}

/** What differs in a pair of hosts from the usual. */
export type PairOptions = {readonly routes?: readonly Route[]; readonly front?: Partial<MeshTargetOptions>; readonly back?: Partial<MeshTargetOptions>};

const PAIR = {
	front: {
		id: 'i-front', service: 'front', slots: 4, workMs: 5,
	},
	back: {
		id: 'i-back', service: 'back', slots: 4, workMs: 5,
	},
};

/** Several hosts in one process, around a store in memory. */
export class Mesh {
	readonly store = new MemoryStore();
	/** What all daemons logged. */
	readonly logLines: string[] = [];
	readonly hosts: MeshHost[] = [];
	readonly #more: Partial<RelaySettings>;

	/** @param more settings of all daemons that differ from the usual */
	constructor(more: Partial<RelaySettings> = {}) {
		this.#more = more;
	}

	configure(site: SiteSpec): void {
		this.store.set('site', 'main', site);
	}

	async addHost(name: string, options: MeshTargetOptions, failureDomain = 'a'): Promise<MeshHost> {
		const ports = await freePorts(4);
		const target = new MeshTarget({...options, outbound: () => ports[0]});
		await target.listen();
		const host = await this.startDaemon(name, target, ports, failureDomain);
		this.hosts.push(host);
		return host;
	}

	/** A host for the clients, and one whose target the route `x` leads to unless `routes` say otherwise. */
	async addPair({routes, front = {}, back = {}}: PairOptions = {}): Promise<{front: MeshHost; back: MeshHost; port: number}> {
		this.configure(createSiteSpec(routes ?? [createRoute('x', 'back')]));
		const hosts = {front: await this.addHost('front', {...PAIR.front, ...front}), back: await this.addHost('back', {...PAIR.back, ...back})};
		await this.settle();
		return {...hosts, port: hosts.front.settings.listen.requests.port};
	}

	/** A daemon beside a target of another process. @returns where its daemon listens */
	async addDaemonBeside(name: string, {id, service, port}: {id: string; service: string; port: number}, failureDomain: string): Promise<RelaySettings['listen']> {
		const ports = await freePorts(4);
		const settings = settingsOf(name, service, port, ports, failureDomain);
		const relay = new Relay(settings, new MeshAdapter(this.store.createView()));
		await relay.start();
		const target = new MeshTarget({
			id, service, slots: 50, workMs: 0,
		});
		setInterval(() => {
			void target.announceAs(port, ports[3]);
		}, ANNOUNCE_MS);
		await target.announceAs(port, ports[3]);
		return settings.listen;
	}

	/** A daemon beside a target that runs already. */
	async startDaemon(name: string, target: MeshTarget, ports: readonly number[], failureDomain = 'a'): Promise<MeshHost> {
		const settings = {...settingsOf(name, target.options.service, target.port, ports, failureDomain), ...this.#more};
		const relay = new Relay(settings, new MeshAdapter(this.store.createView()), {
			write: line => {
				this.logLines.push(line.trim());
			},
		});
		await relay.start();
		await target.announce(ports[3]);
		const timer = setInterval(() => {
			void target.announce(ports[3]);
		}, ANNOUNCE_MS);
		return {
			name,
			relay,
			target,
			settings,
			async stop() {
				clearInterval(timer);
				await relay.stop();
			},
		};
	}

	/** Waits until every daemon knows all hosts. */
	async settle(): Promise<void> {
		await sleep(600);
	}

	async close(): Promise<void> {
		await Promise.all(this.hosts.map(async ({stop, target}) => {
			await Promise.all([stop(), target.close()]);
		}));
	}
}

function settingsOf(host: string, service: string, targetPort: number, ports: readonly number[], failureDomain: string): RelaySettings {
	const at = (port: number) => ({ip: '127.0.0.1', port});
	return {
		host,
		failureDomain,
		service,
		target: at(targetPort),
		listen: {
			requests: at(ports[0]), peers: at(ports[1]), readiness: at(ports[2]), announcements: at(ports[3]),
		},
		seeds: [],
		isFirstStart: true,
		announceIntervalMs: ANNOUNCE_MS,
		drainMs: 1000,
		graceMs: 6000,
		lameDuckMs: 300,
		retry: {ratio: 0.2, slack: 48, windowMs: 10_000},
	};
}

/** Below the range from which connections take their ports, so that none of them takes one between its choice and its use. */
const FIRST_PORT = 10_000;
/** Ports for the tests of one worker process. */
const PORTS_PER_WORKER = 1000;

let nextPort = FIRST_PORT + (Number(process.env.VITEST_POOL_ID ?? 0) * PORTS_PER_WORKER);

async function freePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = nextPort++;
		// eslint-disable-next-line no-await-in-loop -- tries one port after the other
		if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}

async function isFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
