import process from 'node:process';
import {type CAC} from 'cac';
import {parseSettings} from '../config/index.js';
import {Daemon} from '../daemon/index.js';
import {readJson} from './file.js';

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

	const daemon = new Daemon(parseSettings(await readJson(path)));
	// An error that no task expected costs what that task was doing, and not all open requests with it.
	process.on('uncaughtException', error => {
		if (!daemon.survivesUnexpectedError(error)) {
			process.exit(1);
		}
	});
	await daemon.start();
	stopStarted = async () => daemon.stop();
}
