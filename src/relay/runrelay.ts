import process from 'node:process';
import {SystemClock} from '../clock/index.js';
import {EventLog, Logger} from '../log/index.js';
import {type Adapter} from './adapter.js';
import {Relay} from './relay.js';
import {type RelaySettings} from './settings.js';
import {SettingsFile} from './settingsfile.js';

/** The share of the shutdown grace period after which the process exits, even if the relay hasn't stopped yet. */
const FORCED_EXIT_GRACE_SHARE = 0.93;
/** The interval of checks for a changed settings file, in ms; the file may change without a SIGHUP. */
const SETTINGS_CHECK_MS = 2000;
/** How soon a changed settings file that is invalid is checked again, in ms: it may be half written. */
const SETTINGS_RECHECK_MS = 100;
/** How long a start waits for valid settings, in ms. */
const MAX_SETTINGS_WAIT_MS = 10_000;
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
	const log = new EventLog(new Logger(UNNAMED, 'info'), new SystemClock());
	try {
		await run(options, log);
	} catch (error) {
		log.warn('start_failed', {reason: (error as Error).message});
		// eslint-disable-next-line unicorn/no-process-exit -- a start that fails is the end of the process
		process.exit(1);
	}
}

async function run({settingsPath, decodeSettings, createAdapter}: DaemonOptions, log: EventLog): Promise<void> {
	const file = new SettingsFile(settingsPath, decodeSettings);
	const {relay: settings, storeAddress} = await file.readWhenValid({
		maxMs: MAX_SETTINGS_WAIT_MS,
		onWaiting(reason, waitedMs) {
			log.warn('settings_rejected', {reason, waitedMs});
		},
	});
	const apply = (read: () => DaemonSettings | undefined) => {
		try {
			const changed = read();
			if (changed !== undefined) {
				relay.reload(changed.relay);
			}
		} catch (error) {
			relay.onInvalidSettings((error as Error).message);
			setTimeout(refresh, SETTINGS_RECHECK_MS);
		}
	};

	const reload = () => {
		apply(() => file.read());
	};

	const refresh = () => {
		apply(() => file.readIfChanged());
	};

	const relay = new Relay(settings, createAdapter(storeAddress), {refreshSettings: refresh});
	const stop = async () => {
		setTimeout(() => {
			// eslint-disable-next-line unicorn/no-process-exit -- the platform kills the process when the grace period ends
			process.exit(1);
		}, settings.graceMs * FORCED_EXIT_GRACE_SHARE).unref();
		await relay.stop();
		// eslint-disable-next-line unicorn/no-process-exit -- open keep-alive connections would keep the process running
		process.exit(0);
	};

	process.on('SIGTERM', () => {
		void stop();
	});
	process.on('SIGHUP', reload);
	setInterval(refresh, SETTINGS_CHECK_MS);
	await relay.start();
	// An error that no task expected costs what that task was doing, and not all open requests with it.
	process.on('uncaughtException', error => {
		if (!relay.survivesUnexpectedError(error)) {
			process.exit(1);
		}
	});
}
