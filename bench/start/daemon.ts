import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';
import {writeFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {deployNodeFlags} from '../../scripts/nodeflags.mjs';
import {READINESS_PATH} from '../../platform/names.js';
import {type CpuProfile} from './profile.js';
import {type BenchTarget, HOST} from './site.js';

const READY_CHECK_MS = 50;
/** The interval of the target's announcements, in ms. */
const ANNOUNCE_MS = 1500;

/** What a daemon's process has used since its start, in ms of processor time. */
export type Usage = {readonly totalMs: number; readonly mainThreadMs: number; readonly systemMs: number; readonly garbageMs: number; readonly peakMb: number};

/** One daemon of the bundle as a process of its own, and the target beside it. */
export class BenchDaemon {
	readonly target: BenchTarget;
	requestsPort = 0;
	readonly #host: string;
	readonly #folder: string;
	#child: ChildProcess | undefined;
	#announcing: NodeJS.Timeout | undefined;

	constructor(target: BenchTarget, folder: string) {
		this.target = target;
		this.#host = `host-${target.id}`;
		this.#folder = folder;
	}

	/** Starts the daemon as the deploy file does, with the probe besides and the environment that the platform gives; resolves once it is ready. */
	async start(storeAddress: string, bundleFolder: string, nodeFlags: readonly string[]): Promise<void> {
		const [requests, peers, readiness, announcements, metrics] = await findFreePorts(5);
		this.requestsPort = requests;
		this.target.sendNestedCallsTo(requests);
		const addresses = Object.fromEntries(Object.entries({
			requests, peers, readiness, announcements, metrics,
		}).map(([name, port]) => [name, `${HOST}:${port}`]));
		const settingsFile = `${this.#folder}/${this.#host}.json`;
		writeFileSync(settingsFile, JSON.stringify({
			host: this.#host,
			failureDomain: 'a',
			service: this.target.service,
			target: `${HOST}:${this.target.port}`,
			listen: addresses,
			isFirstStart: true,
			seeds: [],
			announceIntervalMs: ANNOUNCE_MS,
			store: storeAddress,
			bounds: {},
		}));
		this.#child = spawn(process.execPath, [...deployNodeFlags, ...nodeFlags, '--require', './bench/start/probe.cjs', '--snapshot-blob', `${bundleFolder}/daemon.blob`, 'daemon'], {
			env: {PATH: process.env.PATH, HOME: process.env.HOME, COMFREYDYKE_SETTINGS: settingsFile}, stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
		});
		const bornMs = Date.now();
		const announce = () => {
			void this.target.announce(announcements, bornMs);
		};

		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- asked until it is ready
			if (await isReady(readiness)) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(READY_CHECK_MS);
		}

		announce();
		this.#announcing = setInterval(announce, ANNOUNCE_MS);
	}

	async usage(): Promise<Usage> {
		return this.#ask<Usage>('usage');
	}

	async startProfile(): Promise<void> {
		await this.#ask('startProfile');
	}

	async stopProfile(): Promise<CpuProfile> {
		return this.#ask<CpuProfile>('stopProfile');
	}

	async stop(): Promise<void> {
		clearInterval(this.#announcing);
		this.#child!.kill('SIGKILL');
		await once(this.#child!, 'exit');
	}

	async #ask<T>(command: string): Promise<T> {
		const answer = once(this.#child!, 'message');
		this.#child!.send(command);
		const [value] = await answer as [T];
		return value;
	}
}

async function isReady(port: number): Promise<boolean> {
	try {
		const response = await fetch(`http://${HOST}:${port}${READINESS_PATH}`);
		await response.text();
		return response.ok;
	} catch {
		return false;
	}
}

async function findFreePorts(count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer().listen(0, HOST));
	await Promise.all(servers.map(async server => once(server, 'listening')));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => once(server.close(), 'close')));
	return ports;
}
