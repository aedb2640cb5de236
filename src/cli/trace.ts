import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {type CAC} from 'cac';
import {ConfigError} from '../config/index.js';
import {traceAttempt} from '../log/index.js';

/** Adds the command that puts a request's log lines in order. */
export function registerTraceCommand(cli: CAC): void {
	cli.command('trace <id> [...files]', 'Show what daemons logged of a client attempt and its nested calls; from standard input without files').action(runTrace);
}

async function runTrace(id: string, files: string[]): Promise<void> {
	const texts = files.length === 0 ? [await text(process.stdin)] : await Promise.all(files.map(async file => readLog(file)));
	const lines = traceAttempt(id, texts.flatMap(one => one.split('\n')));
	if (lines.length === 0) {
		console.error(`no line tells of ${id}: it went well by the usual way, or these are not its daemons' logs`);
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
