import {readFile} from 'node:fs/promises';
import {ConfigError} from '../config/index.js';

/** @throws {ConfigError} when the file can't be read or isn't JSON */
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
		throw new ConfigError([{path, reason: `not JSON: ${(error as Error).message}`}]);
	}
}

/** JSON as the project's files hold it. */
export function formatJson(value: unknown): string {
	return JSON.stringify(value, undefined, '\t') + '\n';
}
