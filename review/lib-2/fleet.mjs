/* eslint-disable camelcase -- the names of the users' pages */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {exchange} from './http.mjs';
import {Store} from './store.mjs';
import {splitAddress, Upstream} from './upstream.mjs';

const RUN_LINE = /^run = "(?<words>[^"]+)"/mv;
const TEMPLATE_LINE = /^template = "(?<file>[^"]+)"/mv;
const PLACEHOLDER = /\{\{(?<name>[a-z_0-9.]+)(?<json>\|json)?\}\}/gv;
/** As in the settings of the site threshold-prod. */
const BOUNDS = {
	seed_lag_s: 3,
	reuse_after_s: 2,
	contact_ms: 3000,
	ack_ms: 4000,
	catch_up_s: 4,
	drain_ms: 2000,
	grace_s: 6,
	loss_slack_ms: 200,
	config_ms: 2000,
	downgrade_ms: 250,
	max_skew_ms: 5000,
	retry_budget_ratio: 0.2,
	budget_window_s: 10,
	budget_slack: 48,
	recover_s: 15,
};
const ADDRESS_NAMES = ['inbound', 'outbound', 'ready', 'control'];
/** The addresses of a fleet are its own, so that two can run beside each other. */
const NET = `127.${10 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 200)}`;
const STORE_IP = `${NET}.250`;
const READY_WAIT_MS = 20_000;

export {BOUNDS};

/** A small deployment: the platform's store, and machines with an upstream and a daemon each. */
export class Fleet {
	machines = [];
	store = new Store();
	#folder = mkdtempSync(path.join(tmpdir(), 'review-2-'));

	/** @param upstreams the options of each machine's upstream @param config what the operator writes */
	async start(upstreams, config) {
		await this.store.listen(STORE_IP);
		this.store.write('config', 'main', config);
		for (const [index, options] of upstreams.entries()) {
			// eslint-disable-next-line no-await-in-loop -- one machine after the other
			this.machines.push(await this.#createMachine(index, options));
		}

		for (const machine of this.machines) {
			machine.start();
		}

		await Promise.all(this.machines.map(machine => machine.waitUntilReady()));
		for (const {upstream, control} of this.machines) {
			upstream.beatTo(control);
		}

		await sleep(1500);
	}

	/** Ends all daemons at once, when this process ends before it could close. */
	abandon() {
		for (const machine of this.machines) {
			machine.abandon();
		}
	}

	async close() {
		for (const {upstream} of this.machines) {
			upstream.close();
		}

		await Promise.all(this.machines.map(machine => machine.kill()));
		this.store.close();
		rmSync(this.#folder, {recursive: true, force: true});
	}

	async #createMachine(index, options) {
		const ip = `${NET}.${index + 1}`;
		const zone = options.zone ?? 'zone-a';
		const upstream = new Upstream({
			id: `i-${index + 1}`, zone, ip, ...options,
		});
		await upstream.listen();
		const ports = await findFreePorts(ip, ADDRESS_NAMES.length);
		const addresses = Object.fromEntries(ADDRESS_NAMES.map((name, place) => [name, `${ip}:${ports[place]}`]));
		const settings = {
			node: `sidecar-${zone}-${index + 1}`,
			role: 'daemon',
			machine_class: 'sidecar',
			serves: ['sidecar'],
			ip,
			zone,
			region: 'region',
			listen_addrs: addresses,
			seeds: [],
			bootstrap: true,
			heartbeat_ms: 1500,
			bounds: BOUNDS,
			app_addr: upstream.address,
			service: upstream.service,
			platform: {address: this.store.address},
		};
		return new Machine(path.join(this.#folder, `machine-${index + 1}`), settings, upstream);
	}
}

/** A machine: its upstream, and its daemon as a process of its own. */
class Machine {
	upstream;
	settings;
	/** How each daemon process here ended that nobody here stopped: its exit code or signal. */
	ends = [];
	/** What the daemon wrote. */
	log = '';
	startedMs = 0;
	#path;
	#child;

	constructor(settingsPath, settings, upstream) {
		this.#path = settingsPath;
		this.settings = settings;
		this.upstream = upstream;
	}

	get outbound() {
		return this.settings.listen_addrs.outbound;
	}

	get control() {
		return this.settings.listen_addrs.control;
	}

	get pid() {
		return this.#child.pid;
	}

	/** Fills in the template of the deploy file, as the platform does. */
	writeSettings() {
		const deploy = readFileSync('deploy/system.toml', 'utf8');
		const template = readFileSync(TEMPLATE_LINE.exec(deploy).groups.file, 'utf8');
		writeFileSync(this.#path, template.replaceAll(PLACEHOLDER, (_whole, name, json) => {
			let value = this.settings;
			for (const key of name.split('.')) {
				value = value?.[key];
			}

			return value === undefined ? '' : (json === undefined ? String(value) : JSON.stringify(value));
		}));
	}

	start() {
		this.writeSettings();
		const [program, ...words] = RUN_LINE.exec(readFileSync('deploy/system.toml', 'utf8')).groups.words.split(' ');
		const child = spawn(program, words, {env: {PATH: process.env.PATH, HOME: process.env.HOME, COMFREYDYKE_SETTINGS: this.#path}, stdio: ['ignore', 'pipe', 'pipe']});
		this.startedMs = Date.now();
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', data => {
				this.log += String(data);
			});
		}

		child.isStopped = false;
		child.once('exit', (code, signal) => {
			child.hasEnded = true;
			if (!child.isStopped) {
				this.ends.push({atMs: Date.now(), how: signal ?? code});
			}
		});
		this.#child = child;
	}

	abandon() {
		this.#child?.kill('SIGKILL');
	}

	/** Kills the daemon, as a kill of the platform does. */
	async kill(signal = 'SIGKILL') {
		const child = this.#child;
		if (child.hasEnded !== true) {
			child.isStopped = true;
			const ended = new Promise(resolve => {
				child.once('exit', resolve);
			});
			child.kill(signal);
			await ended;
		}
	}

	/** Starts the daemon again, as the platform does. */
	startAgain() {
		this.settings.bootstrap = false;
		this.start();
	}

	/** Asks for readiness until it is there. */
	async waitUntilReady() {
		const untilMs = Date.now() + READY_WAIT_MS;
		while (Date.now() < untilMs) {
			// eslint-disable-next-line no-await-in-loop -- each question follows the answer to the one before
			const {status} = await exchange({...splitAddress(this.settings.listen_addrs.ready), path: '/v1/readiness', timeoutMs: 1000});
			if (status === 200) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- as above
			await sleep(50);
		}

		throw new Error(`${this.settings.node} isn't ready`);
	}
}

/** What the operator writes: routes as lists of name, service and more, and the services. */
export function createConfig(routes, version = 1) {
	const columns = ['name', 'host', 'path_prefix', 'kind', 'timeout_ms', 'target_latency_ms', 'priority', 'traffic_split', 'attempts', 'service'];
	const rows = routes.map(({name, service, kind = 'safe', timeoutMs = 5000, attempts = 2}) => [name, 'site.example', `/${name}/`, kind, timeoutMs, 1500, 1, null, attempts, service]);
	const services = [...new Set(routes.map(({service}) => service))];
	return {
		version,
		routes: {columns, rows},
		services: {columns: ['name', 'health_path', 'max_connections', 'protocol', 'tls'], rows: services.map(name => [name, '/health', 640, 'h1', false])},
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	};
}

async function findFreePorts(ip, count) {
	const servers = Array.from({length: count}, () => createServer());
	await Promise.all(servers.map(async server => new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, ip, resolve);
	})));
	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
