import {type z} from 'zod';
import {distance} from 'fastest-levenshtein';
import {type Configuration, configurationSchema} from './schema.js';
import {type Settings, settingsSchema} from './settings.js';

/** An error in a file: the path of the field, or of the file, and what is wrong with it. */
export type ConfigFault = {readonly path: string; readonly reason: string};

/** A file can't be read or is invalid. Lists all faults that were found, not just the first. */
export class ConfigError extends Error {
	override readonly name = 'ConfigError';
	readonly faults: readonly ConfigFault[];

	constructor(faults: readonly ConfigFault[]) {
		super(faults.map(({path, reason}) => `${path}: ${reason}`).join('\n'));
		this.faults = faults;
	}
}

/** @throws {ConfigError} if the value doesn't match the settings schema */
export function parseSettings(value: unknown): Settings {
	return parseWithSchema(settingsSchema, value);
}

/** @throws {ConfigError} if the value doesn't match the schema, or if its parts contradict each other */
export function parseConfiguration(value: unknown): Configuration {
	const configuration = parseWithSchema(configurationSchema, value);
	const faults = [...findReferenceFaults(configuration)];
	if (faults.length > 0) {
		throw new ConfigError(faults);
	}

	return configuration;
}

/** @throws {ConfigError} with all the faults that the schema finds */
export function parseWithSchema<T>(schema: z.ZodType<T>, value: unknown): T {
	const result = schema.safeParse(value);
	if (result.success) {
		return result.data;
	}

	throw new ConfigError(result.error.issues.flatMap(issue => toFaults(issue, findKnownKeys(schema, issue.path))));
}

function toFaults(issue: z.core.$ZodIssue, known: readonly string[]): ConfigFault[] {
	const path = issue.path.map(String).join('.');
	if (issue.code !== 'unrecognized_keys') {
		return [{path: path === '' ? '(file)' : path, reason: issue.message}];
	}

	return issue.keys.map(key => {
		const nearest = findClosestMatch(key, known);
		return {
			path: path === '' ? key : `${path}.${key}`,
			reason: `unknown field${nearest === undefined ? '' : `; did you mean "${nearest}"?`}`,
		};
	});
}

// Follows an issue's path through the schema and returns the field names that are valid there.
function findKnownKeys(schema: unknown, path: readonly PropertyKey[]): string[] {
	let current = schema as {def?: Record<string, unknown>; shape?: Record<string, unknown>};
	for (const step of [...path, undefined]) {
		while (current?.def?.innerType !== undefined) {
			current = current.def.innerType as typeof current;
		}

		if (step !== undefined) {
			current = (current?.shape?.[String(step)] ?? current?.def?.element ?? current?.def?.valueType) as typeof current;
		}
	}

	return Object.keys(current?.shape ?? {});
}

/**
 * Returns the known word with the smallest Levenshtein distance to a mistyped one,
 * or undefined if that is above 2 and above a third of the word's length.
 */
export function findClosestMatch(word: string, known: readonly string[]): string | undefined {
	const ranked = known.map(name => ({name, distance: distance(word, name)})).toSorted((a, b) => a.distance - b.distance);
	return ranked.length > 0 && ranked[0].distance <= Math.max(2, word.length / 3) ? ranked[0].name : undefined;
}

// Finds the faults that the schema can't express: duplicate names, references to
// unknown classes and services, and a queue target above the queue limit.
function * findReferenceFaults({site, services}: Configuration): Generator<ConfigFault> {
	const classes = site.classes.map(({name}) => name);
	yield * findDuplicates(classes, index => `site.classes.${index}.name`);
	for (const [service, {operations, queueTargetMs, queueLimitMs}] of Object.entries(services)) {
		const servicePath = `services.${service}`;
		if (queueTargetMs > queueLimitMs) {
			yield {path: `${servicePath}.queueTargetMs`, reason: `must not exceed queueLimitMs (${queueLimitMs})`};
		}

		yield * findDuplicates(operations.map(({name}) => name), index => `${servicePath}.operations.${index}.name`);
		for (const [index, operation] of operations.entries()) {
			if (!classes.includes(operation.class)) {
				yield {path: `${servicePath}.operations.${index}.class`, reason: describeUnknownName('class', operation.class, classes)};
			}

			for (const [position, callee] of operation.calls.entries()) {
				if (!Object.hasOwn(services, callee)) {
					yield {path: `${servicePath}.operations.${index}.calls.${position}`, reason: describeUnknownName('service', callee, Object.keys(services))};
				}
			}
		}
	}
}

function * findDuplicates(names: readonly string[], pathOf: (index: number) => string): Generator<ConfigFault> {
	for (const [index, name] of names.entries()) {
		if (names.indexOf(name) !== index) {
			yield {path: pathOf(index), reason: `duplicate name "${name}"`};
		}
	}
}

function describeUnknownName(kind: string, word: string, known: readonly string[]): string {
	const nearest = findClosestMatch(word, known);
	return `unknown ${kind} "${word}"${nearest === undefined ? '' : `; did you mean "${nearest}"?`}`;
}
