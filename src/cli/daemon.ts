import process from 'node:process';
import {type CAC} from 'cac';
import {type Settings, parseSettings} from '../config/index.js';
import {Daemon} from '../daemon/index.js';
import {Logger} from '../log/index.js';
import {MAX_SETTINGS_WAIT_MS, SettingsFile} from '../relay/index.js';
import {decodeJson} from './file.js';

/** The daemon's name in its log until the settings name it. */
const UNNAMED = 'comfreydyke';

/** Adds the command that runs a daemon. */
export function registerDaemonCommand(cli: CAC): void {
	cli.command('daemon <settings>', 'Run the daemon of this host until SIGTERM or SIGINT').action(runDaemon);
}

async function runDaemon(path: string): Promise<void> {
	/** What stops the daemon once it has started. */
	let stopStarted = async (): Promise<void> => undefined;
	let isStopping = false;
	const stop = async () => {
		if (!isStopping) {
			isStopping = true;
			await stopStarted();
			// eslint-disable-next-line unicorn/no-process-exit
			process.exit(0);
		}
	};

	// Before the start, which may wait: without a handler, a signal ends the process.
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void stop();
		});
	}

	const log = new Logger(UNNAMED, 'info');
	process.on('SIGHUP', () => {
		log.warn('reload_ignored', {reason: 'settings are read at the start only'});
	});
	const daemon = new Daemon(await readSettings(path, log));
	// An error that no task expected costs what that task was doing, and not all open requests with it.
	process.on('uncaughtException', error => {
		if (!daemon.survivesUnexpectedError(error)) {
			process.exit(1);
		}
	});
	await daemon.start();
	stopStarted = async () => daemon.stop();
}

/** Reads the settings, which another process may still be writing. @throws {ConfigError} when they aren't valid in time */
async function readSettings(path: string, log: Logger): Promise<Settings> {
	const file = new SettingsFile(path, text => parseSettings(decodeJson(path, text)));
	return file.readWhenValid({
		maxMs: MAX_SETTINGS_WAIT_MS,
		onWaiting(reason, waitedMs) {
			log.warn('settings_rejected', {reason, waitedMs});
		},
	});
}
