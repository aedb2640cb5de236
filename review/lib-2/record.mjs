import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Fleet} from './fleet.mjs';
import {trace} from './trace.mjs';

/** Longer than any case, in ms: one that hangs couldn't run. */
const MAX_MS = 110_000;

/** Whether the case plays its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

/**
 * Plays a case: exits with 1 if its rule was broken, 0 if it held, 2 if the case couldn't run.
 * @param file the case's record: what was sent, answered and run, and what follows from it
 * @param play gets a fleet and a function that records a line; it returns why the rule is broken, or undefined if it held
 */
export async function runCase(file, play) {
	const startMs = Date.now();
	const lines = [];
	const note = line => {
		lines.push(`${((Date.now() - startMs) / 1000).toFixed(3)} ${line}`);
	};

	trace.note = note;
	const fleet = new Fleet();
	process.once('exit', () => {
		writeFileSync(file, `${lines.join('\n')}\n`);
		fleet.abandon();
	});
	for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
		process.once(signal, () => {
			process.exit(2);
		});
	}

	let code = 2;
	try {
		const broken = await Promise.race([play(fleet, note), sleep(MAX_MS).then(() => {
			throw new Error('the case took too long');
		})]);
		code = broken === undefined ? 0 : 1;
		note(broken === undefined ? 'HELD' : `BROKEN ${broken}`);
	} catch (error) {
		note(`COULD NOT RUN ${error.stack}`);
	}

	try {
		await fleet.close();
	} finally {
		if (process.env.LOGS !== undefined) {
			writeFileSync(process.env.LOGS, fleet.machines.map(({log}) => log).join('\n=====\n'));
		}

		console.log(lines.at(-1));
		// eslint-disable-next-line unicorn/no-process-exit -- requests of a case that has failed may still be open
		process.exit(code);
	}
}
