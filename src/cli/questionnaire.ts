import {createInterface} from 'node:readline';
import {type Readable, type Writable} from 'node:stream';
import {
	ANSWER_RANGES, type Answers, ConfigError, REQUEST_KINDS, IMPORTANCE_LEVELS, parseAnswers,
} from '../config/index.js';
import {UsageError} from './error.js';

const EXAMPLE_ANSWERS: Answers = {
	site: 'my-site',
	callers: {resendForMs: 120_000, clockErrorMs: 1000},
	services: [{
		name: 'orders',
		upstreams: 3,
		slots: 50,
		connections: 200,
		requests: [
			{
				name: 'status', kind: 'status-check', method: 'GET', path: '/status', waitMs: 3000, calls: [],
			},
			{
				name: 'submit', kind: 'submission', method: 'POST', path: '/submit', waitMs: 6000, calls: [],
			},
		],
	}],
};

/** Returns example answers, for a team to edit. */
export function createExampleAnswers(): Answers {
	return EXAMPLE_ANSWERS;
}

/** Returns what is wrong with an answer, or undefined if it is valid. */
type Validator = (text: string) => string | undefined;

const validateName: Validator = text => (/^[a-z][\w\-]*$/iv.test(text) ? undefined : 'must begin with a letter and contain only letters, digits, "_" and "-"');
const validateYesNo: Validator = text => (/^(y|yes|n|no)$/iv.test(text) ? undefined : 'must be yes or no');
type Range = {readonly min: number; readonly max: number};
const createRangeValidator = ({min, max}: Range): Validator => text => (/^\d+$/v.test(text) && Number(text) >= min && Number(text) <= max ? undefined : `must be an integer from ${min} to ${max}`);
const createChoiceValidator = (words: readonly string[]): Validator => text => (words.includes(text) ? undefined : `must be one of ${words.join(', ')}`);
const validateNames: Validator = text => text.split(/[\s,]+/v).filter(Boolean).map(word => validateName(word)).find(Boolean);

const RESEND_RANGE_S: Range = {min: ANSWER_RANGES.resendForMs.min / 1000, max: ANSWER_RANGES.resendForMs.max / 1000};

/** The answers together don't match the schema. */
export class InvalidAnswersError extends UsageError {
	readonly answers: Answers;

	constructor(message: string, answers: Answers) {
		super(message);
		this.answers = answers;
	}
}

/** Asks questions on a terminal. Repeats a question until the answer is valid; an empty line selects the default, if there is one. */
class Prompter {
	readonly #lines: AsyncIterator<string>;
	readonly #output: Writable;

	constructor(input: Readable, output: Writable) {
		this.#lines = createInterface({input})[Symbol.asyncIterator]();
		this.#output = output;
	}

	async ask(question: string, validate: Validator, defaultText?: string): Promise<string> {
		for (;;) {
			this.#output.write(`${question}${defaultText === undefined ? '' : ` [${defaultText}]`}: `);
			// eslint-disable-next-line no-await-in-loop
			const line = await this.#lines.next() as IteratorResult<string, undefined>;
			if (line.done === true) {
				throw new UsageError('the input ended before all questions were answered');
			}

			const text = line.value.trim() === '' && defaultText !== undefined ? defaultText : line.value.trim();
			const fault = validate(text);
			if (fault === undefined) {
				return text;
			}

			this.#output.write(`  ${fault}\n`);
		}
	}

	async askNumber(question: string, range: Range, defaultNumber: number): Promise<number> {
		return Number(await this.ask(question, createRangeValidator(range), String(defaultNumber)));
	}

	async askYesNo(question: string, defaultYes: boolean): Promise<boolean> {
		return /^y/iv.test(await this.ask(question, validateYesNo, defaultYes ? 'yes' : 'no'));
	}
}

/**
 * Asks all questions and returns the answers.
 * @throws {UsageError} if the input ends early
 * @throws {InvalidAnswersError} if the answers don't match the schema
 */
export async function askAnswers(input: Readable, output: Writable): Promise<Answers> {
	const prompter = new Prompter(input, output);
	const site = await prompter.ask('Name of the site', validateName);
	const resendForMs = 1000 * await prompter.askNumber('How long after its first attempt may a caller resend a request, in seconds', RESEND_RANGE_S, 120);
	const clockErrorMs = await prompter.askNumber('Largest expected difference between two clocks, in ms', ANSWER_RANGES.clockErrorMs, 1000);
	const services: Answers['services'] = [];
	do {
		// eslint-disable-next-line no-await-in-loop
		services.push(await askService(prompter));
		// eslint-disable-next-line no-await-in-loop
	} while (await prompter.askYesNo('Add another service', false));

	const answers: Answers = {site, callers: {resendForMs, clockErrorMs}, services};
	try {
		return parseAnswers(answers);
	} catch (error) {
		throw error instanceof ConfigError ? new InvalidAnswersError(error.message, answers) : error;
	}
}

async function askService(prompter: Prompter): Promise<Answers['services'][number]> {
	const name = await prompter.ask('Name of the service', validateName);
	const upstreams = await prompter.askNumber(`How many targets does ${name} have`, ANSWER_RANGES.upstreams, 3);
	const slots = await prompter.askNumber('How many requests does one target run concurrently', ANSWER_RANGES.slots, 50);
	const connections = await prompter.askNumber('How many connections does one target accept', ANSWER_RANGES.connections, 200);
	const requests: Answers['services'][number]['requests'] = [];
	do {
		// eslint-disable-next-line no-await-in-loop
		requests.push(await askRequest(prompter, name));
		// eslint-disable-next-line no-await-in-loop
	} while (await prompter.askYesNo(`Add another type of request to ${name}`, false));

	return {
		name, upstreams, slots, connections, requests,
	};
}

async function askRequest(prompter: Prompter, service: string): Promise<Answers['services'][number]['requests'][number]> {
	const name = await prompter.ask(`Name of a type of request to ${service}`, validateName);
	const kind = await prompter.ask(`Kind of the request (${REQUEST_KINDS.join(', ')})`, createChoiceValidator(REQUEST_KINDS));
	const method = await prompter.ask('HTTP method, or * for any', createChoiceValidator(['*', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']), 'GET');
	const path = await prompter.ask('Path prefix', text => (text.startsWith('/') ? undefined : 'must begin with /'), `/${name}`);
	const waitMs = await prompter.askNumber('How long does a caller wait for the response, in ms', ANSWER_RANGES.waitMs, 3000);
	const calls = await prompter.ask('Services that the target calls directly while it handles the request (names, or empty)', validateNames, '');
	const matters = await prompter.ask(`Importance during overload (${IMPORTANCE_LEVELS.join(', ')}; usual: by its kind)`, createChoiceValidator([...IMPORTANCE_LEVELS, 'usual']), 'usual');
	const repeatable = await prompter.ask('Is it idempotent: does running it twice do no harm (yes, no; usual: by its kind)', createChoiceValidator(['yes', 'no', 'usual']), 'usual');
	return {
		name,
		kind: kind as typeof REQUEST_KINDS[number],
		method: method as 'GET',
		path,
		waitMs,
		calls: calls.split(/[\s,]+/v).filter(Boolean),
		matters: matters === 'usual' ? undefined : matters as typeof IMPORTANCE_LEVELS[number],
		repeatable: repeatable === 'usual' ? undefined : repeatable === 'yes',
	};
}
