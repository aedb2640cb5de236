import {type Buffer} from 'node:buffer';
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Organisation} from '../src/mesh/index.js';
import {type RelaySettings} from '../src/relay/index.js';
import {createRoute, createSiteSpec} from '../standins/mesh.js';
import {meshHeaders} from '../standins/meshadapter.js';
import {findFreePorts} from '../standins/ports.js';
import {snapshotArguments} from '../standins/snapshot.js';
import {type StoreFault, StoreStandin} from '../standins/store.js';
import {
	DEADLY_PATH, type DaemonFault, type SoakPlan, type TargetFault, serviceOf,
} from './plan.js';
import {History} from './history.js';
import {SoakTarget} from './target.js';
import {PIPELINED_PREFIX, STREAM_PREFIX, UPLOAD_PREFIX} from './work.js';

const DAEMON_ENTRY = 'soak/daemon.ts';
const ANNOUNCE_INTERVAL_MS = 500;
const WORK_MS = 40;
const SLOTS = 2;
/** Transfers take their time, and mustn't hold the others up. */
const FRONT_SLOTS = 24;
/** How long the requests may take whose bodies take their time, in ms. */
export const LONG_TIMEOUT_MS = 5000;
/** How many times as long a slow copy takes. */
const SLOW = 5;
export const DRAIN_MS = 1000;
export const GRACE_MS = 6000;
/** How long a stopping daemon still accepts requests; clients stay away before its end. */
export const LAME_DUCK_MS = 1500;
/** Within which time a configuration must be in force while nothing is disturbed. */
export const CONFIG_MS = 2000;
/** How long a key may live without a confirmation, where the operator is strict. */
export const MAX_AGE_MS = 3000;
/** How long a request that crashes targets is refused at first. */
const QUARANTINE_MS = 3000;
export const QUOTA_ROOM = {windowMs: 5000, over: 0.1, slack: 20};
/** How long a head may take: about as long as the hesitant clients take, and as the shorter freezes last. */
const HEADER_TIMEOUT_MS = 1000;
const FAILURE_DOMAINS = ['a', 'b', 'c'];
/** After which time a daemon that ended by itself is started again, as the platform does. */
const RESTART_MS = 500;

const ROUTES = [
	createRoute('orders', 'back', {repeatability: 'unsafe'}),
	createRoute('read', 'back', {attempts: 3}),
	createRoute('page', 'front', {repeatability: 'unsafe'}),
	createRoute('open', 'back', {isPublic: true}),
	...[PIPELINED_PREFIX, UPLOAD_PREFIX, STREAM_PREFIX].map(prefix => createRoute(prefix.slice(1, -1), 'front', {
		isPublic: true, attempts: 3, timeoutMs: LONG_TIMEOUT_MS, ...(prefix === UPLOAD_PREFIX && {repeatability: 'unsafe' as const}),
	})),
];

/** A host of the fleet: a daemon's process, and a target in the process of the soak. */
export type FleetHost = {
	readonly index: number;
	readonly ports: readonly number[];
	readonly target: SoakTarget;
	process: ChildProcess | undefined;
	/** Whether clients send to it: not once they have noticed that it stops, or while it is away. */
	isOffered: boolean;
	/** Whether its daemon has begun to listen: a process that is told to stop before has accepted nothing. */
	isListening: boolean;
	/** Whether its daemon is being stopped or killed, or started again. */
	isRestarting: boolean;
};

/** Real daemons beside stand-ins of targets, with a stand-in of the store. */
export class Fleet {
	readonly hosts: FleetHost[] = [];
	readonly history = new History();
	readonly #store = new StoreStandin();
	readonly #plan: SoakPlan;
	readonly #folder: string;
	readonly #timers: NodeJS.Timeout[] = [];
	#version = 0;
	/** How many times over one request crashes targets now. */
	#poisons = 0;
	#isClosed = false;

	/** @param folder where the logs and settings are written */
	constructor(plan: SoakPlan, folder: string) {
		this.#plan = plan;
		this.#folder = folder;
	}

	async start(organisations: readonly Organisation[]): Promise<void> {
		mkdirSync(this.#folder, {recursive: true});
		await this.#store.listen();
		this.configure(organisations);
		for (let index = 0; index < this.#plan.hosts; index++) {
			const service = serviceOf(index);
			// eslint-disable-next-line no-await-in-loop -- ports are taken in turn
			const ports = await findFreePorts(4);
			const target = new SoakTarget({
				id: `i-${index}`, service, slots: service === 'back' ? SLOTS : FRONT_SLOTS, workMs: service === 'back' ? WORK_MS : 5, outbound: () => ports[0], calls: {'/page/': [{path: '/orders/nested', times: 1}]},
			});
			// eslint-disable-next-line no-await-in-loop
			await target.listen();
			this.hosts.push({
				index, ports, target, process: undefined, isOffered: true, isListening: false, isRestarting: false,
			});
			this.#timers.push(setInterval(() => {
				if (target.isRunning) {
					void target.announce(ports[3]);
				}
			}, ANNOUNCE_INTERVAL_MS));
		}

		for (const host of this.hosts) {
			this.#startDaemon(host, true);
		}
	}

	configure(organisations: readonly Organisation[]): void {
		this.#version++;
		this.history.sites.push({atMs: Date.now(), organisations});
		const spec = createSiteSpec(ROUTES, this.#version);
		this.#store.put('site', 'main', {...spec, limits: {...spec.limits, headerTimeoutMs: HEADER_TIMEOUT_MS}, organisations});
	}

	async disturbStore(fault: StoreFault, forMs: number): Promise<void> {
		this.#store.fault = fault;
		const fromMs = Date.now();
		await sleep(forMs);
		this.history.disturbances.push({fromMs, untilMs: Date.now(), what: 'store'});
		this.#store.fault = 'none';
	}

	/** Has one request crash each target that runs it. */
	async poison(forMs: number): Promise<void> {
		const fromMs = Date.now();
		this.#poisons++;
		for (const {target} of this.hosts) {
			target.crashesOn = ({url}) => url === DEADLY_PATH;
		}

		await sleep(forMs);
		this.history.poisons.push({fromMs, untilMs: Date.now()});
		this.#poisons--;
		for (const {target} of this.hosts) {
			target.crashesOn = this.#poisons === 0 ? undefined : target.crashesOn;
		}
	}

	async disturbTarget(index: number, behaviour: TargetFault, forMs: number): Promise<void> {
		const {target} = this.hosts[index];
		const fromMs = Date.now();
		switch (behaviour) {
			case 'crash': {
				await target.crashAndRestart(forMs);
				break;
			}

			case 'slow': {
				target.slowness = SLOW;
				break;
			}

			case 'odd': {
				target.isOdd = true;
				break;
			}

			case 'drain': {
				await this.#drain(index, forMs);
				break;
			}

			case 'spoil': {
				target.isSpoiling = true;
				break;
			}

			case 'shedding': {
				target.behaviourOverride = (request, response) => {
					response.writeHead(503, {[meshHeaders.attemptId]: String(request.headers[meshHeaders.attemptId]), [meshHeaders.notRun]: '1', 'content-length': 0});
					response.end();
				};

				break;
			}
		}

		await sleep(behaviour === 'crash' || behaviour === 'drain' ? 0 : forMs);
		target.slowness = 1;
		target.isSpoiling = false;
		target.isOdd = false;
		target.behaviourOverride = undefined;
		this.history.disturbances.push({
			fromMs, untilMs: Date.now(), what: 'target', host: index,
		});
	}

	/** Plays a fault of a daemon's process, if it runs. @returns what broke a promise, if anything did */
	async disturbDaemon(index: number, fault: DaemonFault, forMs: number): Promise<string | undefined> {
		const host = this.hosts[index];
		const child = host.process;
		if (child === undefined || (host.isRestarting && fault === 'kill')) {
			return undefined;
		}

		if (host.isRestarting && fault === 'stop') {
			child.kill('SIGTERM');
			return undefined;
		}

		host.isRestarting ||= fault === 'stop' || fault === 'kill';

		const fromMs = Date.now();
		const record = (what: 'killed' | 'stopped' | 'frozen') => {
			this.history.disturbances.push({
				fromMs, untilMs: Date.now(), what, host: index,
			});
		};

		switch (fault) {
			case 'reload': {
				child.kill('SIGHUP');
				return undefined;
			}

			case 'freeze': {
				child.kill('SIGSTOP');
				await sleep(forMs);
				child.kill('SIGCONT');
				record('frozen');
				return undefined;
			}

			case 'kill': {
				host.isOffered = false;
				host.process = undefined;
				child.kill('SIGKILL');
				await once(child, 'exit');
				await sleep(forMs);
				this.#startDaemon(host, false);
				record('killed');
				return undefined;
			}

			case 'stop': {
				const {isListening} = host;
				child.kill('SIGTERM');
				const exited = once(child, 'exit');
				// As long as clients take to notice, some send on.
				await sleep(LAME_DUCK_MS / 2);
				host.isOffered = false;
				const [code] = await exited as [number | null];
				const tookMs = Date.now() - fromMs;
				host.process = undefined;
				await sleep(forMs);
				this.#startDaemon(host, false);
				record('stopped');
				const wasFrozen = this.history.isDisturbed(['frozen'], fromMs, Date.now(), index);
				return code === 0 || wasFrozen || !isListening ? undefined : `host ${index} ended with ${String(code)} ${tookMs} ms after SIGTERM`;
			}
		}
	}

	close(): void {
		this.#isClosed = true;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		for (const {process: child, target} of this.hosts) {
			child?.kill('SIGKILL');
			void target.close();
		}

		this.#store.close();
	}

	/** Has a target drain and then end. In the middle, an announcement of before arrives late. */
	async #drain(index: number, forMs: number): Promise<void> {
		const {target, ports} = this.hosts[index];
		const {crashCount} = target;
		target.drainAcknowledgedMs = undefined;
		target.isDraining = true;
		await sleep(forMs / 2);
		await target.announceLate(ports[3]);
		await sleep(forMs / 2);
		// One that has crashed meanwhile has begun another start.
		if (target.drainAcknowledgedMs !== undefined && target.crashCount === crashCount) {
			this.history.drains.push({host: index, acknowledgedMs: target.drainAcknowledgedMs, untilMs: Date.now()});
		}

		target.isDraining = false;
		await target.crashAndRestart();
	}

	#startDaemon(host: FleetHost, isFirstStart: boolean): void {
		const {index, ports, target} = host;
		const at = (port: number) => ({ip: '127.0.0.1', port});
		const relay: RelaySettings = {
			host: `host-${index}`,
			failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length],
			service: serviceOf(index),
			target: at(target.port),
			listen: {
				requests: at(ports[0]), peers: at(ports[1]), readiness: at(ports[2]), announcements: at(ports[3]),
			},
			seeds: [],
			isFirstStart,
			announceIntervalMs: ANNOUNCE_INTERVAL_MS,
			configMs: CONFIG_MS,
			settlingMs: 0,
			drainMs: DRAIN_MS,
			graceMs: GRACE_MS,
			lameDuckMs: LAME_DUCK_MS,
			retry: {ratio: 0.2, slack: 48, windowMs: 10_000},
			revocation: {isStrict: this.#plan.isStrict, maxAgeMs: MAX_AGE_MS},
			quotaRoom: QUOTA_ROOM,
			quarantineMs: QUARANTINE_MS,
		};
		const file = path.join(this.#folder, `host-${index}.json`);
		writeFileSync(file, JSON.stringify({relay, storeAddress: this.#store.address}));
		const child = spawn(process.execPath, snapshotArguments(DAEMON_ENTRY), {env: {...process.env, COMFREYDYKE_SETTINGS: file}, stdio: ['ignore', 'pipe', 'pipe']});
		const log = createWriteStream(path.join(this.#folder, `host-${index}.log`), {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		child.stdout.on('data', (lines: Buffer) => {
			host.isListening ||= lines.includes('event=started');
		});
		host.process = child;
		host.isListening = false;
		host.isOffered = true;
		host.isRestarting = false;
		const startedMs = Date.now();
		child.once('exit', (code, signal) => {
			if (!host.isRestarting && !this.#isClosed) {
				this.history.ownEnds.push({host: index, atMs: Date.now(), how: `${code ?? signal} ${Date.now() - startedMs} ms after its start`});
				void this.#startAgain(host);
			}
		});
	}

	/** Starts a daemon again that ended by itself. */
	async #startAgain(host: FleetHost): Promise<void> {
		host.process = undefined;
		host.isOffered = false;
		host.isRestarting = true;
		await sleep(RESTART_MS);
		if (!this.#isClosed) {
			this.#startDaemon(host, false);
		}
	}
}
