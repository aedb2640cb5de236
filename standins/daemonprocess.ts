import {type ChildProcess, spawn} from 'node:child_process';
import {
	mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {type Server, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {READINESS_PATH} from '../platform/names.js';
import {findFreePorts} from './ports.js';
import {snapshotArguments} from './snapshot.js';

export const DAEMON_IP = '127.0.0.1';

/** The addresses that a daemon listens on, by their names in its settings. */
export const LISTEN_NAMES = ['requests', 'peers', 'readiness', 'announcements', 'metrics'] as const;
export type ListenName = typeof LISTEN_NAMES[number];

/** The daemon for the users' platform. */
const ENTRY = 'platform/snapshot.ts';

/** The daemon as the deploy file starts it: a process of its own that starts from the snapshot. */
export class DaemonProcess {
	/** Chooses the addresses of a daemon and bundles it; nothing is started. */
	static async create(storeAddress = `${DAEMON_IP}:1`): Promise<DaemonProcess> {
		snapshotArguments(ENTRY);
		return new DaemonProcess(await findFreePorts(LISTEN_NAMES.length), storeAddress);
	}

	/** What it wrote to its output so far. */
	log = '';
	/** The exit code, or the signal that ended the process. */
	end: number | string | undefined;
	readonly ports: Readonly<Record<ListenName, number>>;
	readonly settingsPath: string;
	readonly #storeAddress: string;
	readonly #folder: string;
	#child: ChildProcess | undefined;

	private constructor(ports: readonly number[], storeAddress: string) {
		this.ports = Object.fromEntries(LISTEN_NAMES.map((name, index) => [name, ports[index]])) as Record<ListenName, number>;
		this.#storeAddress = storeAddress;
		this.#folder = mkdtempSync(path.join(tmpdir(), 'comfreydyke-daemon-'));
		this.settingsPath = path.join(this.#folder, 'settings.json');
	}

	/** The text of its settings file, with these fields in place of the usual ones. */
	formatSettings(changes: Readonly<Record<string, unknown>> = {}): string {
		return JSON.stringify({
			host: 'host-a',
			failureDomain: 'a',
			service: 'back',
			target: `${DAEMON_IP}:1`,
			listen: Object.fromEntries(Object.entries(this.ports).map(([name, port]) => [name, `${DAEMON_IP}:${port}`])),
			isFirstStart: false,
			seeds: [],
			announceIntervalMs: 1500,
			store: this.#storeAddress,
			bounds: {},
			...changes,
		}, undefined, '\t');
	}

	/** Starts it with the settings file as it is. @param output where its output goes, `log` by default */
	start(output: 'pipe' | number = 'pipe'): void {
		const child = spawn(process.execPath, snapshotArguments(ENTRY), {
			env: {PATH: process.env.PATH, COMFREYDYKE_SETTINGS: this.settingsPath}, stdio: ['ignore', output, output],
		});
		const onOutput = (data: unknown) => {
			this.log += String(data);
		};

		child.stdout?.on('data', onOutput);
		child.stderr?.on('data', onOutput);
		child.once('exit', (code, signal) => {
			if (this.#child === child) {
				this.end = code ?? signal!;
			}
		});
		this.end = undefined;
		this.#child = child;
	}

	/** Writes its settings and starts it. */
	startWith(changes: Readonly<Record<string, unknown>> = {}, output: 'pipe' | number = 'pipe'): void {
		writeFileSync(this.settingsPath, this.formatSettings(changes));
		this.start(output);
	}

	/** Closes the reading ends of its output. */
	closeOutput(): void {
		this.#child!.stdout!.destroy();
		this.#child!.stderr!.destroy();
	}

	kill(signal: NodeJS.Signals): void {
		this.#child!.kill(signal);
	}

	/** Asks whether it is ready. @returns the status of the answer, 0 without one */
	async readiness(): Promise<number> {
		try {
			const response = await fetch(`http://${DAEMON_IP}:${this.ports.readiness}${READINESS_PATH}`);
			await response.text();
			return response.status;
		} catch {
			return 0;
		}
	}

	/** Kills it and removes its files. */
	async close(): Promise<void> {
		const child = this.#child;
		if (child !== undefined && this.end === undefined) {
			await new Promise(resolve => {
				child.once('exit', resolve);
				child.kill('SIGKILL');
			});
		}

		rmSync(this.#folder, {recursive: true, force: true});
	}
}

/** Takes a port as another process would. */
export async function takePort(port: number): Promise<Server> {
	const server = createServer(socket => {
		socket.destroy();
	});
	await new Promise<void>(resolve => {
		server.listen(port, DAEMON_IP, resolve);
	});
	return server;
}
