import {readFileSync, statSync} from 'node:fs';
import process from 'node:process';
import {type Adapter} from './adapter.js';
import {Relay} from './relay.js';
import {type RelaySettings} from './settings.js';

/** The share of the shutdown grace period after which the process exits, even if the relay hasn't stopped yet. */
const FORCED_EXIT_GRACE_SHARE = 0.93;
/** The interval of checks for a changed settings file, in ms; the file may change without a SIGHUP. */
const SETTINGS_CHECK_MS = 2000;

/** What a daemon's settings file says. */
export type DaemonSettings = {readonly relay: RelaySettings; readonly storeAddress: string};

export type DaemonOptions = {
	readonly settingsPath: string;
	/** @throws {DecodeError} when the settings are invalid */
	readonly decodeSettings: (text: string) => DaemonSettings;
	readonly createAdapter: (storeAddress: string) => Adapter;
};

/** Runs the daemon of this host as this process, until it is told to stop. @throws {DecodeError} when the settings are invalid at the start */
export async function runRelay({settingsPath, decodeSettings, createAdapter}: DaemonOptions): Promise<void> {
	const readSettings = () => decodeSettings(readFileSync(settingsPath, 'utf8'));
	const {relay: settings, storeAddress} = readSettings();
	const relay = new Relay(settings, createAdapter(storeAddress), {
		refreshSettings() {
			refresh();
		},
	});
	let settingsModifiedMs = statSync(settingsPath).mtimeMs;

	const reload = () => {
		try {
			settingsModifiedMs = statSync(settingsPath).mtimeMs;
			relay.reload(readSettings().relay);
		} catch (error) {
			relay.onInvalidSettings((error as Error).message);
		}
	};

	const refresh = () => {
		const modifiedMs = statSync(settingsPath, {throwIfNoEntry: false})?.mtimeMs;
		if (modifiedMs !== undefined && modifiedMs !== settingsModifiedMs) {
			reload();
		}
	};

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
