import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {type Readable, type Writable} from 'node:stream';
import {type CAC} from 'cac';
import {z} from 'zod';
import {
	ConfigError, answersSchema, configurationSchema, generateConfiguration, parseAnswers, parseConfiguration, parseSettings, settingsSchema,
} from '../config/index.js';
import {UsageError} from './error.js';
import {readJson, formatJson} from './file.js';
import {InvalidAnswersError, askAnswers, createExampleAnswers} from './questionnaire.js';

const FILE_KINDS = {
	answers: {schema: answersSchema, parse: parseAnswers},
	configuration: {schema: configurationSchema, parse: parseConfiguration},
	settings: {schema: settingsSchema, parse: parseSettings},
};

type FileKind = keyof typeof FILE_KINDS;

/** Adds the commands that check and generate files. */
export function registerConfigCommands(cli: CAC): void {
	cli.command('check <file>', 'Check a settings, configuration or answers file and list all of its faults').action(checkFile);
	cli.command('generate <answers>', 'Generate the configuration from an answers file')
		.option('--out <file>', 'Write the configuration to this file instead of standard output')
		.action(runGenerate);
	cli.command('questionnaire', 'Ask the questions on the terminal and write an answers file')
		.option('--blank', 'Print an example answers file to edit, and ask nothing')
		.option('--out <file>', 'The file to write the answers to', {default: 'answers.json'})
		.action(runQuestionnaire);
	cli.command('schema <kind>', 'Print the JSON Schema of "answers", "configuration" or "settings" files').action(printSchema);
}

async function checkFile(path: string): Promise<void> {
	const value = await readJson(path);
	const kind = detectFileKind(value);
	FILE_KINDS[kind].parse(value);
	console.log(`${path}: valid ${kind} file`);
}

// Tells the kinds apart by their fields: only answers have a list of services, and settings have neither services nor a site.
function detectFileKind(value: unknown): FileKind {
	if (typeof value !== 'object' || value === null) {
		throw new ConfigError([{path: '(file)', reason: 'must be a JSON object'}]);
	}

	if (Array.isArray((value as {services?: unknown}).services)) {
		return 'answers';
	}

	return 'services' in value || 'site' in value ? 'configuration' : 'settings';
}

async function runGenerate(path: string, {out}: {out?: string}): Promise<void> {
	const text = formatJson(generateConfiguration(parseAnswers(await readJson(path))));
	if (out === undefined) {
		process.stdout.write(text);
	} else {
		await writeFile(out, text);
		console.log(`wrote ${out}`);
	}
}

async function runQuestionnaire({blank, out}: {blank?: boolean; out: string}): Promise<void> {
	if (blank === true) {
		process.stdout.write(formatJson(createExampleAnswers()));
		return;
	}

	await writeAnswers(process.stdin, process.stdout, out);
	console.log(`wrote ${out}; next: comfreydyke generate ${out}`);
}

/** Asks the questions and writes the answers to a file, those with faults as well. @throws {UsageError} */
export async function writeAnswers(input: Readable, output: Writable, out: string): Promise<void> {
	try {
		await writeFile(out, formatJson(await askAnswers(input, output)));
	} catch (error) {
		if (!(error instanceof InvalidAnswersError)) {
			throw error;
		}

		await writeFile(out, formatJson(error.answers));
		throw new UsageError(`${error.message}\nthe answers are in ${out}; correct them there`);
	}
}

function printSchema(kind: string): void {
	if (!Object.hasOwn(FILE_KINDS, kind)) {
		throw new UsageError(`unknown schema kind "${kind}"; must be one of ${Object.keys(FILE_KINDS).join(', ')}`);
	}

	process.stdout.write(formatJson(z.toJSONSchema(FILE_KINDS[kind as FileKind].schema, {io: 'input'})));
}
