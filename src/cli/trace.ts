import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {type CAC} from 'cac';
import {ConfigError} from '../config/index.js';
import {traceAttempt} from '../log/index.js';

/** Adds the command that shows the log lines of one request in the order of time. */
export function registerTraceCommand(cli: CAC): void {
	cli.command('trace <id> [...files]', 'Show what daemons logged about a client attempt and its nested calls; reads standard input if no files are given').action(runTrace);
}

async function runTrace(id: string, files: string[]): Promise<void> {
	const texts = files.length === 0 ? [await text(process.stdin)] : await Promise.all(files.map(async file => readLog(file)));
	const lines = traceAttempt(id, texts.flatMap(content => content.split('\n')));
	if (lines.length === 0) {
		console.error(`no log line about ${id}: daemons log nothing about an attempt without incidents, or these are the logs of other daemons`);
		process.exitCode = 1;
		return;
	}

	console.log(lines.join('\n'));
}

async function readLog(path: string): Promise<string> {
	try {
		return await readFile(path, 'utf8');
	} catch (error) {
		throw new ConfigError([{path, reason: (error as Error).message}]);
	}
}
