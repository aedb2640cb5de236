import process from 'node:process';
import {cac} from 'cac';
import {registerConfigCommands} from './config.js';
import {registerDaemonCommand} from './daemon.js';
import {EXIT_FAILURE, EXIT_USAGE, reportError} from './error.js';
import {registerOperateCommands} from './sitecommands.js';
import {rejectUnknownOptions} from './options.js';
import {registerQuarantineCommand} from './quarantine.js';
import {registerTraceCommand} from './trace.js';

/** The version of the package, which the bundler inserts. */
declare const COMFREYDYKE_VERSION: string;

const cli = cac('comfreydyke');
registerDaemonCommand(cli);
registerConfigCommands(cli);
registerOperateCommands(cli);
registerTraceCommand(cli);
registerQuarantineCommand(cli);
cli.help();
cli.version(COMFREYDYKE_VERSION);

async function main(): Promise<void> {
	try {
		cli.parse(process.argv, {run: false});
		if (cli.options.help !== true && cli.options.version !== true) {
			if (cli.matchedCommand === undefined) {
				const [word] = cli.args;
				process.exitCode = EXIT_USAGE;
				console.error(word === undefined ? 'expected a command; --help lists all commands' : `unknown command "${word}"; --help lists all commands`);
			} else {
				rejectUnknownOptions(cli.matchedCommand, cli.options);
				await cli.runMatchedCommand();
			}
		}
	} catch (error) {
		process.exitCode = reportError(error) ?? EXIT_FAILURE;
	}
}

// The binary is built from a CommonJS bundle, which doesn't support top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void main();
