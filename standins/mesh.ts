import {setTimeout as sleep} from 'node:timers/promises';
import {MemoryStore} from '../fakes/memorystore.js';
import {type Route, type SiteSpec} from '../src/mesh/index.js';
import {Relay, type RelaySettings} from '../src/relay/index.js';
import {MeshAdapter} from './meshadapter.js';
import {HEALTH_PATH, MeshTarget, type MeshTargetOptions} from './meshtarget.js';
import {findFreePorts} from './ports.js';

const ANNOUNCE_INTERVAL_MS = 500;

/** A host: a daemon, the target beside it, and the settings of the daemon with its ports. */
export type MeshHost = {readonly name: string; readonly relay: Relay; readonly target: MeshTarget; readonly settings: RelaySettings; stop: () => Promise<void>};

/** Creates a route with the default values of the tests, except for `more`. */
export function createRoute(name: string, service: string, more: Partial<Route> = {}): Route {
	return {
		name, host: 'site', prefix: `/${name}/`, repeatability: 'safe', attempts: 2, timeoutMs: 2000, objectiveMs: 1000, rank: 1, destinations: [{service, weight: 1}], ...more,
	};
}

/** Creates a site configuration with these routes and the services that they lead to. */
export function createSiteSpec(routes: readonly Route[], version = 1): SiteSpec {
	const names = new Set(routes.flatMap(({destinations}) => destinations.map(({service}) => service)));
	return {
		version,
		routes,
		services: [...names].map(name => ({name, maxConnections: 100, healthPath: HEALTH_PATH})),
		limits: {
			headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
}

/** Options of a pair of hosts that differ from the defaults. */
export type PairOptions = {readonly routes?: readonly Route[]; readonly front?: Partial<MeshTargetOptions>; readonly back?: Partial<MeshTargetOptions>};

const PAIR_TARGETS = {
	front: {
		id: 'i-front', service: 'front', slots: 4, workMs: 5,
	},
	back: {
		id: 'i-back', service: 'back', slots: 4, workMs: 5,
	},
};

/** Several hosts in one process that share an in-memory store. */
export class Mesh {
	readonly store = new MemoryStore();
	/** Log lines of all daemons. */
	readonly logLines: string[] = [];
	readonly hosts: MeshHost[] = [];
	readonly #settingOverrides: Partial<RelaySettings>;

	/** @param settingOverrides settings of all daemons that differ from the defaults */
	constructor(settingOverrides: Partial<RelaySettings> = {}) {
		this.#settingOverrides = settingOverrides;
	}

	configure(site: SiteSpec): void {
		this.store.set('site', 'main', site);
	}

	async addHost(name: string, options: MeshTargetOptions, failureDomain = 'a'): Promise<MeshHost> {
		const ports = await findFreePorts(5);
		return this.#addHost(name, new MeshTarget({...options, outbound: () => ports[0]}), ports, failureDomain);
	}

	/** Adds a host with this target, which doesn't listen yet and makes no nested calls. */
	async addHostOf(name: string, target: MeshTarget): Promise<MeshHost> {
		return this.#addHost(name, target, await findFreePorts(5), 'a');
	}

	/** Adds two hosts: `front`, to which clients connect, and `back`, to whose target the route `x` leads unless `routes` is set. */
	async addPair({routes, front = {}, back = {}}: PairOptions = {}): Promise<{front: MeshHost; back: MeshHost; port: number}> {
		this.configure(createSiteSpec(routes ?? [createRoute('x', 'back')]));
		const hosts = {front: await this.addHost('front', {...PAIR_TARGETS.front, ...front}), back: await this.addHost('back', {...PAIR_TARGETS.back, ...back})};
		await this.settle();
		return {...hosts, port: hosts.front.settings.listen.requests.port};
	}

	/** Starts a daemon beside a target of another process, and announces that target. @returns the addresses on which the daemon listens */
	async addDaemonBeside(name: string, {id, service, port}: {id: string; service: string; port: number}, failureDomain: string): Promise<RelaySettings['listen']> {
		const ports = await findFreePorts(4);
		const settings = createSettings(name, service, port, ports, failureDomain);
		const relay = new Relay(settings, new MeshAdapter(this.store.createView()));
		await relay.start();
		const target = new MeshTarget({
			id, service, slots: 50, workMs: 0,
		});
		setInterval(() => {
			void target.announceAs(port, ports[3]);
		}, ANNOUNCE_INTERVAL_MS);
		await target.announceAs(port, ports[3]);
		return settings.listen;
	}

	/** Starts a daemon beside a target that is already running, and announces the target to it at fixed intervals. */
	async startDaemon(name: string, target: MeshTarget, ports: readonly number[], failureDomain = 'a'): Promise<MeshHost> {
		const settings = {...createSettings(name, target.options.service, target.port, ports, failureDomain), ...this.#settingOverrides};
		const relay = new Relay(settings, new MeshAdapter(this.store.createView()), {
			write: line => {
				this.logLines.push(line.trim());
			},
		});
		const announce = async () => {
			if (target.options.isSilent !== true && target.isRunning) {
				await target.announce(ports[3]);
			}
		};

		await relay.start();
		await announce();
		const timer = setInterval(() => {
			void announce();
		}, ANNOUNCE_INTERVAL_MS);
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

	/** Waits 600 ms, longer than one announcement interval, so that every daemon knows all hosts. */
	async settle(): Promise<void> {
		await sleep(600);
	}

	async close(): Promise<void> {
		await Promise.all(this.hosts.map(async ({stop, target}) => {
			await Promise.all([stop(), target.close()]);
		}));
	}

	async #addHost(name: string, target: MeshTarget, ports: readonly number[], failureDomain: string): Promise<MeshHost> {
		await target.listen();
		const host = await this.startDaemon(name, target, ports, failureDomain);
		this.hosts.push(host);
		return host;
	}
}

function createSettings(host: string, service: string, targetPort: number, ports: readonly number[], failureDomain: string): RelaySettings {
	const at = (port: number) => ({ip: '127.0.0.1', port});
	return {
		host,
		failureDomain,
		service,
		target: at(targetPort),
		listen: {
			requests: at(ports[0]), peers: at(ports[1]), readiness: at(ports[2]), announcements: at(ports[3]), ...(ports.length > 4 && {metrics: at(ports[4])}),
		},
		seeds: [],
		isFirstStart: true,
		announceIntervalMs: ANNOUNCE_INTERVAL_MS,
		configMs: 2000,
		settlingMs: 0,
		drainMs: 1000,
		graceMs: 6000,
		lameDuckMs: 300,
		retry: {ratio: 0.2, slack: 48, windowMs: 10_000},
	};
}
