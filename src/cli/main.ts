import process from 'node:process';
import {cac} from 'cac';
import {registerConfigCommands} from './config.js';
import {registerDaemonCommand} from './daemon.js';
import {EXIT_FAILURE, EXIT_USAGE, reportError} from './error.js';
import {registerOperateCommands} from './sitecommands.js';
import {rejectUnknownOptions} from './options.js';
import {registerTraceCommand} from './trace.js';

/** The package's version; the bundler puts it in. */
declare const COMFREYDYKE_VERSION: string;

const cli = cac('comfreydyke');
registerDaemonCommand(cli);
registerConfigCommands(cli);
registerOperateCommands(cli);
registerTraceCommand(cli);
cli.help();
cli.version(COMFREYDYKE_VERSION);

async function main(): Promise<void> {
	try {
		cli.parse(process.argv, {run: false});
		if (cli.options.help !== true && cli.options.version !== true) {
			if (cli.matchedCommand === undefined) {
				const [word] = cli.args;
				process.exitCode = EXIT_USAGE;
				console.error(word === undefined ? 'name a command; --help lists them' : `no command "${word}"; --help lists them`);
			} else {
				rejectUnknownOptions(cli.matchedCommand, cli.options);
				await cli.runMatchedCommand();
			}
		}
	} catch (error) {
		process.exitCode = reportError(error) ?? EXIT_FAILURE;
	}
}

// The one binary is a CommonJS bundle, which knows no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void main();
