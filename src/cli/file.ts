import {readFile} from 'node:fs/promises';
import {ConfigError} from '../config/index.js';

/** @throws {ConfigError} if the file can't be read or isn't valid JSON */
export async function readJson(path: string): Promise<unknown> {
	try {
		return decodeJson(path, await readFile(path, 'utf8'));
	} catch (error) {
		throw error instanceof ConfigError ? error : new ConfigError([{path, reason: (error as Error).message}]);
	}
}

/** @throws {ConfigError} if the text of the file isn't valid JSON */
export function decodeJson(path: string, text: string): unknown {
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
