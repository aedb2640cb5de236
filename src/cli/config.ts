import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {type CAC} from 'cac';
import {z} from 'zod';
import {
	ConfigError, answersSchema, configurationSchema, generateConfiguration, parseAnswers, parseConfiguration, parseSettings, settingsSchema,
} from '../config/index.js';
import {UsageError} from './error.js';
import {readJson, formatJson} from './file.js';
import {askAnswers, createExampleAnswers} from './questionnaire.js';

const FILE_KINDS = {
	answers: {schema: answersSchema, parse: parseAnswers},
	configuration: {schema: configurationSchema, parse: parseConfiguration},
	settings: {schema: settingsSchema, parse: parseSettings},
};

type FileKind = keyof typeof FILE_KINDS;

/** Adds the commands that read and make files. */
export function registerConfigCommands(cli: CAC): void {
	cli.command('check <file>', 'List every fault in a settings, configuration or answers file').action(checkFile);
	cli.command('generate <answers>', 'Work out the configuration from a team\'s answers')
		.option('--out <file>', 'Write it there instead of printing it')
		.action(runGenerate);
	cli.command('questionnaire', 'Ask for a team\'s answers on the terminal')
		.option('--blank', 'Print an answers file to fill in')
		.option('--out <file>', 'Where the answers go', {default: 'answers.json'})
		.action(runQuestionnaire);
	cli.command('schema <kind>', 'Print the JSON Schema of "answers", "configuration" or "settings" files').action(printSchema);
}

async function checkFile(path: string): Promise<void> {
	const value = await readJson(path);
	const kind = detectFileKind(value);
	FILE_KINDS[kind].parse(value);
	console.log(`${path}: no fault found (${kind})`);
}

// Each kind of file has a field that the others don't have.
function detectFileKind(value: unknown): FileKind {
	if (typeof value !== 'object' || value === null) {
		throw new ConfigError([{path: '(file)', reason: 'not an object'}]);
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

	const answers = await askAnswers(process.stdin, process.stdout);
	await writeFile(out, formatJson(answers));
	console.log(`wrote ${out}; next: comfreydyke generate ${out}`);
}

function printSchema(kind: string): void {
	if (!Object.hasOwn(FILE_KINDS, kind)) {
		throw new UsageError(`no schema "${kind}"; there are ${Object.keys(FILE_KINDS).join(', ')}`);
	}

	process.stdout.write(formatJson(z.toJSONSchema(FILE_KINDS[kind as FileKind].schema, {io: 'input'})));
}
