import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {type DaemonStatus} from '../src/core/index.js';
import {type TargetOptions} from '../standins/target.js';

const DAEMON_PORT = 7070;
const TARGET_PORT = 8080;
const PLATFORM_ADDRESS = {host: '127.0.1.250', port: 7000};
const MAX_READY_CHECKS = 100;
const READY_CHECK_INTERVAL_MS = 100;
const SITE_KEY = 'a secret of this site only';

/** The plan of one host: a daemon process and the target process beside it. */
export type HostPlan = Omit<TargetOptions, 'host' | 'port' | 'daemon'> & {readonly id: string; readonly failureDomain: string};

type Host = {readonly plan: HostPlan; readonly address: string; readonly target: string; daemon?: ChildProcess; targetProcess?: ChildProcess};

/** A site whose daemons, targets and platform run as separate processes on this machine's loopback addresses. */
export class Site {
	readonly hosts: Host[];
	readonly #command: string[];
	readonly #processes: ChildProcess[] = [];
	#folder = '';

	/**
	 * @param binary path of the built binary that runs the daemons; if undefined, `node` runs the bundle
	 * @param subnet third octet of the hosts' addresses
	 */
	constructor(plans: readonly HostPlan[], binary: string | undefined, subnet = 1) {
		this.#command = binary === undefined ? [process.execPath, path.resolve('.build/src/cli/main.mjs')] : [path.resolve(binary)];
		this.hosts = plans.map((plan, index) => {
			const host = `127.0.${subnet}.${index + 1}`;
			return {plan, address: `${host}:${DAEMON_PORT}`, target: `${host}:${TARGET_PORT}`};
		});
	}

	get platformUrl(): string {
		return `http://${PLATFORM_ADDRESS.host}:${PLATFORM_ADDRESS.port}`;
	}

	async start(configuration: unknown): Promise<void> {
		this.#folder = await mkdtemp(path.join(os.tmpdir(), 'comfreydyke-'));
		this.#spawnStandIn('platform', PLATFORM_ADDRESS);
		await sleep(300);
		const file = path.join(this.#folder, 'site.json');
		await writeFile(file, JSON.stringify(configuration));
		await this.runCommand('apply', file, '--platform', this.platformUrl);
		for (const host of this.hosts) {
			// eslint-disable-next-line no-await-in-loop
			await this.startHost(host);
		}

		await this.#waitUntilReady();
	}

	async startHost(host: Host): Promise<void> {
		const [address, port] = host.address.split(':');
		const settings = path.join(this.#folder, `${host.plan.id}.json`);
		await writeFile(settings, JSON.stringify({
			id: host.plan.id,
			region: 'demo',
			failureDomain: host.plan.failureDomain,
			listen: {host: address, port: Number(port)},
			platform: {url: this.platformUrl},
			siteKey: SITE_KEY,
		}));
		host.daemon = this.#spawn([...this.#command, 'daemon', settings]);
		if (host.targetProcess === undefined) {
			const {id, failureDomain, ...options} = host.plan;
			host.targetProcess = this.#spawnStandIn('target', {
				...options, host: address, port: TARGET_PORT, daemon: host.address,
			});
		}
	}

	/** Runs a command of the program until it exits. @returns its standard output */
	async runCommand(...args: string[]): Promise<string> {
		const [program, ...first] = this.#command;
		const child = spawn(program, [...first, ...args], {stdio: ['ignore', 'pipe', 'inherit']});
		let text = '';
		child.stdout.on('data', (chunk: Uint8Array) => {
			text += String(chunk);
		});
		await new Promise(resolve => {
			child.once('close', resolve);
		});
		return text;
	}

	async fetchStatus(host: Host): Promise<DaemonStatus> {
		const response = await request(`http://${host.address}/_comfreydyke/status`, {headersTimeout: 1000});
		return await response.body.json() as DaemonStatus;
	}

	async setFaults(faults: Record<string, unknown>): Promise<void> {
		const response = await request(`${this.platformUrl}/faults`, {method: 'POST', body: JSON.stringify(faults)});
		await response.body.dump();
	}

	async stop(): Promise<void> {
		const running = this.#processes.filter(child => child.exitCode === null && child.signalCode === null);
		for (const child of running) {
			child.kill('SIGKILL');
		}

		await rm(this.#folder, {recursive: true, force: true});
	}

	async #waitUntilReady(): Promise<void> {
		for (let checks = 0; checks < MAX_READY_CHECKS; checks++) {
			// eslint-disable-next-line no-await-in-loop
			const readiness = await Promise.all(this.hosts.map(async host => this.#isReady(host)));
			if (readiness.every(Boolean)) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(READY_CHECK_INTERVAL_MS);
		}

		throw new Error('site: expected every daemon to be ready and to know the targets of all hosts, but the readiness checks ran out');
	}

	async #isReady(host: Host): Promise<boolean> {
		try {
			const {isReady, members} = await this.fetchStatus(host);
			return isReady && members.filter(({service}) => service !== undefined).length === this.hosts.length;
		} catch {
			return false;
		}
	}

	#spawnStandIn(role: string, options: unknown): ChildProcess {
		return this.#spawn([process.execPath, path.resolve('.build/standins/main.mjs'), role, JSON.stringify(options)]);
	}

	#spawn([program, ...args]: string[]): ChildProcess {
		const child = spawn(program, args, {stdio: ['ignore', process.env.DEMO_LOG === undefined ? 'ignore' : 'inherit', 'inherit']});
		this.#processes.push(child);
		return child;
	}
}
