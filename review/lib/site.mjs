/* eslint-disable camelcase -- the names of the users' pages */

/** A small deployment on loopback addresses: the daemons of the deploy file as processes, and a stand-in of the platform's store. */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {StoreStandin} from '../../.build/review/store.mjs';
import {HOST} from './client.mjs';
import {HEALTH_PATH, HEARTBEAT_MS} from './upstream.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
/** On every machine of a day the ports are the same. */
const PORTS = {
	inbound: 8300, app: 8301, ready: 8302, outbound: 8304, control: 8306,
};
const METRICS_PORT = 9464;
/** The bounds of the first two deployments, as `SYSTEM.md` has them. */
const BOUNDS = {
	seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_ms: 2000,
	downgrade_ms: 250, max_skew_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 48, recover_s: 15,
};
/** How long a daemon takes to start at most, in ms. */
const START_MS = 15_000;
/** The delay after which a process that has ended is started again, in ms. */
const RESTART_MS = 500;

const CONTACT_MS = 3000;
/** How long after its start everything is left alone, in ms: then all machines are in touch. */
export const SETTLE_MS = CONTACT_MS + 1500;
/** Whether the case includes its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The case couldn't run. */
export class CaseError extends Error {
	name = 'CaseError';
}

export class Site {
	machines = [];
	#store = new StoreStandin();
	#record;
	#isKept = false;
	#folder = mkdtempSync(path.join(os.tmpdir(), 'comfreydyke-review-'));
	#run = /^run = "node (?<words>[^"]+)"$/mv.exec(readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8')).groups.words.split(' ');
	#template = readFileSync(path.join(ROOT, 'deploy/settings.json'), 'utf8');

	constructor(record) {
		this.#record = record;
	}

	/** Starts the store, with the first configuration, and chooses addresses. @param services one for each machine */
	async start({services, zones = services.map(() => 'zone-a'), routes}) {
		await this.#store.listen();
		const prefix = await findFreePrefix(services.length);
		this.machines = services.map((service, index) => ({
			name: `sidecar-${index + 1}`, ip: `${prefix}.${index + 1}`, zone: zones[index], service, ports: PORTS, daemon: undefined, endCount: 0,
		}));
		this.configure(routes, [...new Set([...services, ...routes.map(({service}) => service)])]);
	}

	/** Writes a configuration as the operator does. */
	configure(routes, services) {
		const columns = ['name', 'host', 'path_prefix', 'service', 'kind', 'timeout_ms', 'target_latency_ms', 'attempts', 'priority'];
		const rows = routes.map(({path: prefix, service, kind, timeoutMs, attempts = 2}) => [prefix.replaceAll('/', ''), HOST, prefix, service, kind, timeoutMs, timeoutMs, attempts, 1]);
		this.#store.put('config', 'main', {
			version: 1,
			routes: {columns, rows},
			services: {columns: ['name', 'health_path', 'max_connections'], rows: services.map(name => [name, HEALTH_PATH, 640])},
			limits: {
				max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_ms: 5000, idle_timeout_ms: 15_000,
			},
		});
	}

	/** Writes an object as another writer may. */
	writeForeign(kind, name, spec) {
		this.#record.write('foreign-object', {kind, name, spec: JSON.stringify(spec)});
		this.#store.put(kind, name, spec);
	}

	/** From now on, starts each process that ends again after a short delay, as the platform does. */
	keepRunning() {
		this.#isKept = true;
	}

	/** Starts a machine's daemon with the command of the deploy file. */
	startDaemon(machine, isFirstStart = true) {
		const settings = path.join(this.#folder, `${machine.name}.json`);
		writeFileSync(settings, this.#settingsOf(machine, isFirstStart));
		const output = openSync(path.join(this.#folder, `${machine.name}.log`), 'a');
		machine.daemon = spawn(process.execPath, this.#run, {
			cwd: ROOT, stdio: ['ignore', output, output], env: {PATH: process.env.PATH, HOME: this.#folder, COMFREYDYKE_SETTINGS: settings},
		});
		this.#record.write('daemon-started', {machine: machine.name, service: machine.service});
		const {daemon} = machine;
		daemon.on('exit', (code, signal) => {
			this.#record.write('daemon-ended', {machine: machine.name, code, signal});
			machine.endCount++;
			if (this.#isKept) {
				setTimeout(() => {
					if (this.#isKept) {
						this.startDaemon(machine, false);
					}
				}, RESTART_MS);
			}
		});
	}

	/** Sends a signal to a machine's daemon. */
	signal({name, daemon}, signal) {
		this.#record.write('signal', {machine: name, signal});
		daemon.kill(signal);
	}

	async ended({daemon}, limitMs = 10_000) {
		const endMs = performance.now() + limitMs;
		while (daemon.exitCode === null && daemon.signalCode === null && performance.now() < endMs) {
			// eslint-disable-next-line no-await-in-loop -- looks again
			await sleep(10);
		}
	}

	/** Waits until all daemons that run say that they are ready. */
	async ready(machines = this.machines) {
		const endMs = performance.now() + START_MS;
		for (const machine of machines) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			while (!await isReady(machine)) {
				if (performance.now() > endMs) {
					throw new CaseError(`${machine.name} is not ready after ${START_MS} ms`);
				}

				// eslint-disable-next-line no-await-in-loop -- asks again
				await sleep(100);
			}
		}
	}

	/** The path of what a machine's daemon has logged. */
	logOf({name}) {
		return readFileSync(path.join(this.#folder, `${name}.log`), 'utf8');
	}

	async close() {
		this.#isKept = false;
		for (const {daemon} of this.machines) {
			if (daemon !== undefined && daemon.exitCode === null && daemon.signalCode === null) {
				daemon.kill('SIGKILL');
			}
		}

		for (const {daemon} of this.machines) {
			if (daemon !== undefined) {
				// eslint-disable-next-line no-await-in-loop -- each must have ended
				await this.ended({daemon});
			}
		}

		this.#store.close();
		if (process.env.KEEP_LOGS === undefined) {
			rmSync(this.#folder, {recursive: true, force: true});
		} else {
			console.error(this.#folder);
		}
	}

	#settingsOf({name, ip, zone, service, ports}, isFirstStart) {
		const at = port => `${ip}:${port}`;
		const fields = {
			node: name,
			zone,
			service,
			ip,
			app_addr: at(ports.app),
			listen_addrs: {
				outbound: at(ports.outbound), inbound: at(ports.inbound), ready: at(ports.ready), control: at(ports.control),
			},
			bootstrap: isFirstStart,
			seeds: [],
			heartbeat_ms: HEARTBEAT_MS,
			platform: {address: this.#store.address},
			bounds: BOUNDS,
		};
		return this.#template.replaceAll(/\{\{(?<key>[\w.]+)(?<json>\|json)?\}\}/gv, (_all, key, json) => {
			let value = fields;
			for (const part of key.split('.')) {
				value = value?.[part];
			}

			return json === undefined ? String(value ?? '') : JSON.stringify(value ?? null);
		});
	}
}

/** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase({record, site, upstreams, play}) {
	let code = 2;
	const timer = setTimeout(() => {
		record.write('gave-up', {afterS: 110});
		process.exitCode = 2;
		end(2);
	}, 110_000);
	const end = async exitCode => {
		clearTimeout(timer);
		for (const upstream of upstreams) {
			upstream.stop();
		}

		await site.close();
		// eslint-disable-next-line unicorn/no-process-exit -- open connections would keep the process
		process.exit(exitCode);
	};

	try {
		const isBroken = await play();
		record.write('verdict', {broken: isBroken, trouble: hasTrouble});
		console.log(`rule ${isBroken ? 'broken' : 'held'} (TROUBLE=${hasTrouble ? 1 : 0})`);
		code = isBroken ? 1 : 0;
	} catch (error) {
		record.write('could-not-run', {reason: error.message});
		console.log(`could not run: ${error.message}`);
	}

	await end(code);
}

/** Asks a machine's daemon whether it is ready, as the platform does. */
export async function isReady({ip, ports}) {
	try {
		const response = await fetch(`http://${ip}:${ports.ready}/v1/readiness`, {signal: AbortSignal.timeout(1000)});
		await response.arrayBuffer();
		return response.status === 200;
	} catch {
		return false;
	}
}

/** Finds the beginning of loopback addresses on which all ports of the machines are free. */
async function findFreePrefix(count) {
	for (let attempt = 0; attempt < 50; attempt++) {
		const prefix = `127.${64 + Math.floor(Math.random() * 128)}.${1 + Math.floor(Math.random() * 250)}`;
		const addresses = Array.from({length: count}, (_, index) => [...Object.values(PORTS), METRICS_PORT].map(port => ({ip: `${prefix}.${index + 1}`, port}))).flat();
		// eslint-disable-next-line no-await-in-loop -- tries one after the other
		const areFree = await Promise.all(addresses.map(async address => isFree(address)));
		if (areFree.every(Boolean)) {
			return prefix;
		}
	}

	throw new CaseError('no free loopback addresses');
}

async function isFree({ip, port}) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, ip, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
