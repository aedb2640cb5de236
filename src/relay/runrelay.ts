import {watch} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {SystemClock} from '../clock/index.js';
import {EventLog, Logger} from '../log/index.js';
import {type Adapter} from './adapter.js';
import {Relay} from './relay.js';
import {type RelaySettings} from './settings.js';
import {MAX_SETTINGS_WAIT_MS, SettingsFile} from './settingsfile.js';

/** The share of the shutdown grace period after which the process exits, even if the relay hasn't stopped yet. */
const FORCED_EXIT_GRACE_SHARE = 0.93;
/** The interval of checks for a changed settings file, in ms; the file may change without a SIGHUP. */
const SETTINGS_CHECK_MS = 2000;
/** How soon a changed settings file that is invalid is checked again, in ms: it may be half written. */
const SETTINGS_RECHECK_MS = 100;
/** The daemon's name in its log until the settings name its host. */
const UNNAMED = 'comfreydyke';

/** What a daemon's settings file says. */
export type DaemonSettings = {readonly relay: RelaySettings; readonly storeAddress: string};

export type DaemonOptions = {
	readonly settingsPath: string;
	/** @throws {DecodeError} when the settings are invalid */
	readonly decodeSettings: (text: string) => DaemonSettings;
	readonly createAdapter: (storeAddress: string) => Adapter;
};

/** Runs the daemon of this host as this process, until it is told to stop. The process exits with 1 when the daemon can't start. */
export async function runRelay(options: DaemonOptions): Promise<void> {
	const daemon = new DaemonProcess(options);
	await daemon.start();
}

/** The process of a daemon: reads the settings, and handles signals and what nothing else has handled. */
class DaemonProcess {
	readonly #options: DaemonOptions;
	readonly #file: SettingsFile<DaemonSettings>;
	readonly #log: EventLog;
	#relay: Relay | undefined;
	#graceMs = 0;

	// The handlers come before all else: without them, a signal or an error ends the process.
	constructor(options: DaemonOptions) {
		process.on('SIGHUP', () => {
			this.#reload();
		});
		process.on('SIGTERM', () => {
			void this.#stop();
		});
		// An error that no task expected costs what that task was doing, and not all open requests with it.
		process.on('uncaughtException', error => {
			this.#onUnexpectedError(error);
		});
		this.#log = new EventLog(new Logger(UNNAMED, 'info'), new SystemClock());
		this.#options = options;
		this.#file = new SettingsFile(options.settingsPath, options.decodeSettings);
	}

	async start(): Promise<void> {
		try {
			await this.#start();
		} catch (error) {
			this.#log.warn('start_failed', {reason: (error as Error).message});
			// eslint-disable-next-line unicorn/no-process-exit -- a start that fails is the end of the process
			process.exit(1);
		}
	}

	async #start(): Promise<void> {
		const {relay: settings, storeAddress} = await this.#file.readWhenValid({
			maxMs: MAX_SETTINGS_WAIT_MS,
			onWaiting: (reason, waitedMs) => {
				this.#log.warn('settings_rejected', {reason, waitedMs});
			},
		});
		this.#graceMs = settings.graceMs;
		this.#relay = new Relay(settings, this.#options.createAdapter(storeAddress), {
			refreshSettings: () => {
				this.#refresh();
			},
		});
		setInterval(() => {
			this.#refresh();
		}, SETTINGS_CHECK_MS);
		this.#watchSettings();
		await this.#relay.start();
	}

	/** The checks at an interval remain: not every file system reports changes. */
	#watchSettings(): void {
		const {dir, base} = path.parse(this.#options.settingsPath);
		try {
			// The folder, as the file may be replaced.
			watch(dir === '' ? '.' : dir, (_event, name) => {
				if (name === null || name === base) {
					this.#refresh();
				}
			}).on('error', error => {
				this.#log.warn('settings_unwatched', {reason: error.message});
			});
		} catch (error) {
			this.#log.warn('settings_unwatched', {reason: (error as Error).message});
		}
	}

	#reload(): void {
		this.#apply(() => this.#file.read());
	}

	#refresh(): void {
		this.#apply(() => this.#file.readIfChanged());
	}

	// Before there is a relay, the start reads the settings anyway.
	#apply(read: () => DaemonSettings | undefined): void {
		const relay = this.#relay;
		if (relay === undefined) {
			return;
		}

		try {
			const changed = read();
			if (changed !== undefined) {
				relay.reload(changed.relay);
			}
		} catch (error) {
			relay.onInvalidSettings((error as Error).message);
			setTimeout(() => {
				this.#refresh();
			}, SETTINGS_RECHECK_MS);
		}
	}

	async #stop(): Promise<void> {
		if (this.#relay !== undefined) {
			setTimeout(() => {
				this.#relay?.resetUnwrittenAnswers();
				// eslint-disable-next-line unicorn/no-process-exit -- the platform kills the process when the grace period ends
				process.exit(1);
			}, this.#graceMs * FORCED_EXIT_GRACE_SHARE).unref();
			await this.#relay.stop();
		}

		// eslint-disable-next-line unicorn/no-process-exit -- open keep-alive connections would keep the process running
		process.exit(0);
	}

	#onUnexpectedError(error: Error): void {
		if (this.#relay === undefined) {
			this.#log.warn('unexpected_error', {reason: error.message, at: (error.stack ?? '').split('\n')[1]?.trim() ?? ''});
		}

		if (this.#relay?.survivesUnexpectedError(error) !== true) {
			this.#relay?.resetUnwrittenAnswers();
			// eslint-disable-next-line unicorn/no-process-exit -- as without a handler
			process.exit(1);
		}
	}
}
