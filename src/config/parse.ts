import {type z} from 'zod';
import {distance} from 'fastest-levenshtein';
import {type Configuration, configurationSchema} from './schema.js';
import {type Settings, settingsSchema} from './settings.js';

/** One thing that is wrong with a file. */
export type ConfigFault = {readonly path: string; readonly reason: string};

/** A file with faults; all of them are listed. */
export class ConfigError extends Error {
	override readonly name = 'ConfigError';
	readonly faults: readonly ConfigFault[];

	constructor(faults: readonly ConfigFault[]) {
		super(faults.map(({path, reason}) => `${path}: ${reason}`).join('\n'));
		this.faults = faults;
	}
}

/** @throws {ConfigError} */
export function parseSettings(value: unknown): Settings {
	return parseWithSchema(settingsSchema, value);
}

/** @throws {ConfigError} */
export function parseConfiguration(value: unknown): Configuration {
	const declaration = parseWithSchema(configurationSchema, value);
	const faults = [...findReferenceFaults(declaration)];
	if (faults.length > 0) {
		throw new ConfigError(faults);
	}

	return declaration;
}

/** @throws {ConfigError} */
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
			reason: `no such field${nearest === undefined ? '' : `; did you mean "${nearest}"?`}`,
		};
	});
}

function findKnownKeys(schema: unknown, path: readonly PropertyKey[]): string[] {
	let at = schema as {def?: Record<string, unknown>; shape?: Record<string, unknown>};
	for (const step of [...path, undefined]) {
		while (at?.def?.innerType !== undefined) {
			at = at.def.innerType as typeof at;
		}

		if (step !== undefined) {
			at = (at?.shape?.[String(step)] ?? at?.def?.element ?? at?.def?.valueType) as typeof at;
		}
	}

	return Object.keys(at?.shape ?? {});
}

/** The known word that a mistyped one most likely stands for. */
export function findClosestMatch(word: string, known: readonly string[]): string | undefined {
	const ranked = known.map(name => ({name, distance: distance(word, name)})).toSorted((a, b) => a.distance - b.distance);
	return ranked.length > 0 && ranked[0].distance <= Math.max(2, word.length / 3) ? ranked[0].name : undefined;
}

function * findReferenceFaults({site, services}: Configuration): Generator<ConfigFault> {
	const classes = site.classes.map(({name}) => name);
	yield * findDuplicates(classes, index => `site.classes.${index}.name`);
	for (const [service, {operations, queueTargetMs, queueLimitMs}] of Object.entries(services)) {
		const at = `services.${service}`;
		if (queueTargetMs > queueLimitMs) {
			yield {path: `${at}.queueTargetMs`, reason: `is above queueLimitMs (${queueLimitMs})`};
		}

		yield * findDuplicates(operations.map(({name}) => name), index => `${at}.operations.${index}.name`);
		for (const [index, operation] of operations.entries()) {
			if (!classes.includes(operation.class)) {
				yield {path: `${at}.operations.${index}.class`, reason: describeUnknownName('class', operation.class, classes)};
			}

			for (const [position, callee] of operation.calls.entries()) {
				if (!Object.hasOwn(services, callee)) {
					yield {path: `${at}.operations.${index}.calls.${position}`, reason: describeUnknownName('service', callee, Object.keys(services))};
				}
			}
		}
	}
}

function * findDuplicates(names: readonly string[], pathOf: (index: number) => string): Generator<ConfigFault> {
	for (const [index, name] of names.entries()) {
		if (names.indexOf(name) !== index) {
			yield {path: pathOf(index), reason: `"${name}" stands twice`};
		}
	}
}

function describeUnknownName(kind: string, word: string, known: readonly string[]): string {
	const nearest = findClosestMatch(word, known);
	return `no ${kind} "${word}"${nearest === undefined ? '' : `; did you mean "${nearest}"?`}`;
}
