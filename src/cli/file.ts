import {readFile} from 'node:fs/promises';
import {ConfigError} from '../config/index.js';

/** @throws {ConfigError} if the file can't be read or isn't valid JSON */
export async function readJson(path: string): Promise<unknown> {
	let text: string;
	try {
		text = await readFile(path, 'utf8');
	} catch (error) {
		throw new ConfigError([{path, reason: (error as Error).message}]);
	}

	try {
		return JSON.parse(text);
	} catch (error) {
		throw new ConfigError([{path, reason: `invalid JSON: ${(error as Error).message}`}]);
	}
}

/** Formats a value as generated files have it: indented by tabs, with a final newline. */
export function formatJson(value: unknown): string {
	return JSON.stringify(value, undefined, '\t') + '\n';
}
