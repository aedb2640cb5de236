import {type Command} from 'cac';
import {findClosestMatch} from '../config/index.js';
import {UsageError} from './error.js';

const COMMON_OPTIONS = ['help', 'version'];

/** @throws {UsageError} for a flag that the command doesn't have, with the nearest that it has */
export function rejectUnknownOptions(command: Command, options: Record<string, unknown>): void {
	const known = [...command.options.map(({name}) => name), ...COMMON_OPTIONS];
	for (const name of Object.keys(options)) {
		if (name !== '--' && !known.includes(name) && name.length > 1) {
			const nearest = findClosestMatch(name, known);
			throw new UsageError(`no flag --${name}${nearest === undefined ? '' : `; did you mean --${nearest}?`}`);
		}
	}
}
