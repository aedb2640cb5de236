import {type Command} from 'cac';
import {findClosestMatch} from '../config/index.js';
import {UsageError} from './error.js';

const COMMON_OPTIONS = ['help', 'version'];

/** @throws {UsageError} if a flag is unknown to the command; the message suggests the closest one that it has */
export function rejectUnknownOptions(command: Command, options: Record<string, unknown>): void {
	const known = [...command.options.map(({name}) => name), ...COMMON_OPTIONS];
	for (const name of Object.keys(options)) {
		if (name !== '--' && !known.includes(name) && name.length > 1) {
			const nearest = findClosestMatch(name, known);
			throw new UsageError(`unknown flag --${name}${nearest === undefined ? '' : `; did you mean --${nearest}?`}`);
		}
	}
}
