/** A small deployment on loopback addresses: the store, machines with the daemon of the deploy file, and the upstreams beside them. */
/* eslint-disable camelcase -- the names of the platform's fields */
/* eslint-disable no-await-in-loop -- each step waits for the one before */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {connect, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Store} from './store.mjs';
import {Upstream} from './upstream.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** The bounds of the smaller site files. */
export const BOUNDS = {
	seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_ms: 2000, downgrade_ms: 250,
	max_skew_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 48, recover_s: 15,
};
const HEARTBEAT_MS = 1500;
const PORTS = {
	inbound: 8300, app: 8301, ready: 8302, outbound: 8304, control: 8306, store: 8309, metrics: 9464,
};
const START_MS = 15_000;
/** A case may take 120 s. */
const MAX_CASE_MS = 110_000;
/** A machine counts as in touch once it has run for `contact_ms`. */
const SETTLE_MS = 3300;

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The case couldn't run. */
export class NotRun extends Error {
	name = 'NotRun';
}

function readDeployFile() {
	const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
	const field = name => {
		const found = new RegExp(`^${name} = "(.*)"$`, 'mv').exec(text);
		if (found === null) {
			throw new NotRun(`the deploy file has no ${name}`);
		}

		return found[1];
	};

	return {run: field('run').split(' '), template: readFileSync(path.join(ROOT, field('template')), 'utf8')};
}

/** Fills in a template without sections, as DEPLOY.md describes it. */
function render(template, fields) {
	return template.replaceAll(/\{\{(?<name>[\w.]+)(?<json>\|json)?\}\}/gv, (_whole, name, json) => {
		let value = fields;
		for (const key of name.split('.')) {
			value = value?.[key];
		}

		return json === undefined ? String(value ?? '') : JSON.stringify(value ?? null);
	});
}

/** A machine: a loopback address, the daemon, and the upstream beside it. */
export class Machine {
	log = '';
	/** The exit code or the signal of the daemon that ended last. */
	ended;
	#deployment;
	#child;
	#exit = Promise.resolve();

	constructor(deployment, {name, zone, service, ip}) {
		this.#deployment = deployment;
		Object.assign(this, {
			name, zone, service, ip, settingsPath: path.join(deployment.folder, `${name}.conf`),
		});
		this.outbound = {host: ip, port: PORTS.outbound};
	}

	get pid() {
		return this.#child?.pid;
	}

	/** Writes the settings file that the platform would render. */
	writeSettings({isFirstStart = false} = {}) {
		const at = port => `${this.ip}:${port}`;
		writeFileSync(this.settingsPath, render(this.#deployment.deploy.template, {
			node: this.name, zone: this.zone, service: this.service, app_addr: at(PORTS.app), ip: this.ip, bootstrap: isFirstStart, seeds: [], heartbeat_ms: HEARTBEAT_MS,
			listen_addrs: {
				outbound: at(PORTS.outbound), inbound: at(PORTS.inbound), ready: at(PORTS.ready), control: at(PORTS.control),
			},
			platform: {address: this.#deployment.storeAddress}, bounds: this.#deployment.bounds,
		}));
	}

	startDaemon() {
		const [program, ...args] = this.#deployment.deploy.run;
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			cwd: ROOT, env: {
				PATH, ...(HOME !== undefined && {HOME}), ...(LANG !== undefined && {LANG}), COMFREYDYKE_SETTINGS: this.settingsPath,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const output of [child.stdout, child.stderr]) {
			output.on('data', bytes => {
				this.log += bytes;
			});
		}

		this.#exit = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				this.ended = code ?? signal;
				resolve();
			});
		});
		this.#child = child;
		this.#deployment.record(`start daemon=${this.name} pid=${child.pid}`);
	}

	/** Sends a signal to the daemon, which this process has started. */
	signal(name) {
		this.#deployment.record(`signal=${name} daemon=${this.name}`);
		this.#child.kill(name);
	}

	/** Waits until the daemon has ended. */
	async exited() {
		await this.#exit;
		this.#deployment.record(`ended daemon=${this.name} by=${this.ended}`);
	}

	async addUpstream(id, work) {
		this.upstream = new Upstream({
			id, service: this.service, zone: this.zone, ip: this.ip, port: PORTS.app, controlPort: PORTS.control, heartbeatMs: HEARTBEAT_MS, work,
			onRun: attemptId => {
				this.#deployment.record(`run attempt=${attemptId} upstream=${id}`);
			},
		});
		await this.upstream.start();
	}

	async isReady() {
		try {
			const response = await fetch(`http://${this.ip}:${PORTS.ready}/v1/readiness`, {signal: AbortSignal.timeout(1000)});
			await response.text();
			return response.status === 200;
		} catch {
			return false;
		}
	}

	/** Ends the daemon at once. */
	kill() {
		if (this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null) {
			this.#child.kill('SIGKILL');
		}
	}

	async close() {
		this.upstream?.close();
		this.kill();
		await this.#exit;
	}
}

export class Deployment {
	deploy = readDeployFile();
	folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	machines = [];
	bounds = BOUNDS;
	#store = new Store();
	#startMs = Date.now();
	#recordPath;
	#subnet;

	/** @param caseUrl the URL of the module of the case, beside which the record is written */
	constructor(caseUrl) {
		this.#recordPath = fileURLToPath(new URL('record.txt', caseUrl));
		writeFileSync(this.#recordPath, '');
		mkdirSync(this.folder, {recursive: true});
	}

	/** Adds a line to the record, with the time since the start. */
	record(line) {
		appendFileSync(this.#recordPath, `${String(Date.now() - this.#startMs).padStart(6)} ms ${line}\n`);
	}

	/** Starts the store and one machine for each of these, and waits until all are ready and know all upstreams. */
	async start(machines, routes, limits = {}) {
		this.#subnet = await findFreeSubnet(machines.length + 1);
		this.storeAddress = `${this.#subnet}.1:${PORTS.store}`;
		await this.#store.listen(`${this.#subnet}.1`, PORTS.store);
		this.configure(1, routes, limits);
		for (const [index, machine] of machines.entries()) {
			const added = new Machine(this, {zone: 'zone-a', ...machine, ip: `${this.#subnet}.${index + 2}`});
			this.machines.push(added);
			added.writeSettings({isFirstStart: true});
			added.startDaemon();
		}

		await this.until('all daemons are ready', async () => {
			const ready = await Promise.all(this.machines.map(async machine => machine.isReady()));
			return ready.every(Boolean);
		});
		for (const [index, machine] of this.machines.entries()) {
			if (machines[index].work !== undefined) {
				await machine.addUpstream(`i-${machine.name}`, machines[index].work);
			}
		}
	}

	/** Waits until all machines count as in touch. */
	async settle() {
		await sleep(SETTLE_MS);
		this.record('all machines are in touch');
	}

	/** The operator writes a configuration. */
	configure(version, routes, limits = {}) {
		const services = [...new Set(routes.map(({service}) => service))];
		this.#store.put('config', 'main', {
			version,
			routes: {
				columns: ['name', 'host', 'path_prefix', 'kind', 'timeout_ms', 'target_latency_ms', 'priority', 'attempts', 'service'],
				rows: routes.map(({name, kind, timeoutMs = 5000, attempts = 2, service}) => [name, 'site.example', `/${name}/`, kind, timeoutMs, 1500, 0, attempts, service]),
			},
			services: {columns: ['name', 'health_path', 'max_connections', 'protocol', 'tls'], rows: services.map(name => [name, '/health', 640, 'h1', false])},
			limits: {
				max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3000, idle_timeout_ms: 15_000, ...limits,
			},
		});
	}

	async until(what, isTrue, maxMs = START_MS) {
		const endMs = Date.now() + maxMs;
		while (!await isTrue()) {
			if (Date.now() > endMs) {
				throw new NotRun(`not within ${maxMs} ms: ${what}`);
			}

			await sleep(25);
		}
	}

	async close() {
		await Promise.all(this.machines.map(async machine => machine.close()));
		this.#store.close();
		rmSync(this.folder, {recursive: true, force: true});
	}
}

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
 * @param play plays the case with a deployment. It returns what broke the rule, one text for each time.
 */
export async function runCase(caseUrl, play, {allowed = 0} = {}) {
	const deployment = new Deployment(caseUrl);
	deployment.record(`trouble=${hasTrouble ? 1 : 0}`);
	let code = 2;
	const giveUp = reason => {
		deployment.record(`not run: ${reason}`);
		console.log(`not run: ${reason}`);
		for (const machine of deployment.machines) {
			machine.kill();
		}

		// eslint-disable-next-line unicorn/no-process-exit -- the result of the case
		process.exit(2);
	};

	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			giveUp(signal);
		});
	}

	setTimeout(() => {
		giveUp(`not over after ${MAX_CASE_MS} ms`);
	}, MAX_CASE_MS).unref();
	try {
		const breaks = await play(deployment);
		for (const text of breaks) {
			deployment.record(`broken: ${text}`);
		}

		code = breaks.length > allowed ? 1 : 0;
		console.log(`${code === 1 ? 'broken' : 'held'}: ${breaks.length} (allowed: ${allowed})`);
		for (const text of breaks.slice(0, 10)) {
			console.log(`  ${text}`);
		}
	} catch (error) {
		deployment.record(`not run: ${error.message}`);
		console.log(`not run: ${error.stack}`);
	}

	await deployment.close();
	deployment.record(`exit=${code}`);
	// eslint-disable-next-line unicorn/no-process-exit -- the result of the case
	process.exit(code);
}

async function findFreeSubnet(count) {
	for (let tries = 0; tries < 50; tries++) {
		const subnet = `127.${60 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 250)}`;
		const free = await Promise.all(Array.from({length: count}, (_, index) => isFree(`${subnet}.${index + 1}`)));
		if (free.every(Boolean)) {
			return subnet;
		}
	}

	throw new NotRun('no free addresses');
}

async function isFree(ip) {
	for (const port of Object.values(PORTS)) {
		const server = createServer();
		const isBound = await new Promise(resolve => {
			server.once('error', () => {
				resolve(false);
			});
			server.listen(port, ip, () => {
				resolve(true);
			});
		});
		if (!isBound) {
			return false;
		}

		await new Promise(resolve => {
			server.close(resolve);
		});
	}

	return true;
}

/** A client's connection that writes what it is told and notes all that comes back, and how it ends. */
export class RawClient {
	bytes = Buffer.alloc(0);
	/** How the connection ended: `end` is an orderly close, `reset` any other. */
	end;
	closed;
	#chunks = [];

	constructor({host, port}) {
		this.socket = connect({
			host, port, noDelay: true, allowHalfOpen: false,
		});
		this.received = 0;
		this.socket.on('data', bytes => {
			this.received += bytes.length;
			this.#chunks.push(bytes);
			this.onData?.(bytes);
		});
		// Node.js also reports a reset that it finds together with data as an end. The peer of a connection that was reset is unknown.
		this.socket.prependListener('end', () => {
			this.end ??= this.socket.remoteAddress === undefined ? 'reset (found with data)' : 'end';
		});
		this.socket.on('error', error => {
			this.end = `reset (${error.code})`;
		});
		this.closed = new Promise(resolve => {
			this.socket.on('close', () => {
				this.end ??= 'closed';
				resolve();
			});
		});
	}

	/** Sends a request without a body. */
	get(requestPath, id, deadlineMs) {
		this.socket.write(`GET ${requestPath} HTTP/1.1\r\nHost: site.example\r\nX-Comfreydyke-Attempt-Id: ${id}\r\nX-Comfreydyke-Deadline-Ms: ${deadlineMs}\r\n\r\n`);
	}

	/** All that arrived. */
	get all() {
		this.#chunks = [Buffer.concat(this.#chunks)];
		return this.#chunks[0];
	}

	/** The head and the body of the first answer, as far as they have arrived; undefined without a whole head. */
	get answer() {
		const {all} = this;
		const headEnd = all.indexOf('\r\n\r\n');
		if (headEnd === -1) {
			return undefined;
		}

		const [statusLine, ...lines] = all.subarray(0, headEnd).toString('latin1').split('\r\n');
		const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
		return {status: Number(statusLine.split(' ')[1]), headers, body: all.subarray(headEnd + 4)};
	}
}
