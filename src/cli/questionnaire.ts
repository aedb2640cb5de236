import {createInterface} from 'node:readline';
import {type Readable, type Writable} from 'node:stream';
import {
	type Answers, ConfigError, REQUEST_KINDS, IMPORTANCE_LEVELS, parseAnswers,
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

/** An answers file to fill in. */
export function createExampleAnswers(): Answers {
	return EXAMPLE_ANSWERS;
}

type Validator = (text: string) => string | undefined;

const validateName: Validator = text => (/^[a-z][\w\-]*$/iv.test(text) ? undefined : 'must begin with a letter and hold letters, digits, "_" and "-" only');
const validateCount: Validator = text => (/^\d+$/v.test(text) && Number(text) > 0 ? undefined : 'must be a whole number above 0');
const validateYesNo: Validator = text => (/^(y|yes|n|no)$/iv.test(text) ? undefined : 'answer yes or no');
const createChoiceValidator = (words: readonly string[]): Validator => text => (words.includes(text) ? undefined : `must be one of ${words.join(', ')}`);
const validateNames: Validator = text => text.split(/[\s,]+/v).filter(Boolean).map(word => validateName(word)).find(Boolean);

/** Asks one question after the other on a terminal, again until an answer is valid. */
class Prompter {
	readonly #lines: AsyncIterator<string>;
	readonly #output: Writable;

	constructor(input: Readable, output: Writable) {
		this.#lines = createInterface({input})[Symbol.asyncIterator]();
		this.#output = output;
	}

	async ask(question: string, check: Validator, usual?: string): Promise<string> {
		for (;;) {
			this.#output.write(`${question}${usual === undefined ? '' : ` [${usual}]`}: `);
			// eslint-disable-next-line no-await-in-loop
			const line = await this.#lines.next() as IteratorResult<string, undefined>;
			if (line.done === true) {
				throw new UsageError('the input ended before the last question');
			}

			const text = line.value.trim() === '' && usual !== undefined ? usual : line.value.trim();
			const fault = check(text);
			if (fault === undefined) {
				return text;
			}

			this.#output.write(`  ${fault}\n`);
		}
	}

	async askCount(question: string, usual: number): Promise<number> {
		return Number(await this.ask(question, validateCount, String(usual)));
	}

	async askYesNo(question: string, usual: boolean): Promise<boolean> {
		return /^y/iv.test(await this.ask(question, validateYesNo, usual ? 'yes' : 'no'));
	}
}

/** @throws {UsageError} when the input ends early */
export async function askAnswers(input: Readable, output: Writable): Promise<Answers> {
	const asker = new Prompter(input, output);
	const site = await asker.ask('The site\'s name', validateName);
	const resendForMs = 1000 * await asker.askCount('For how many seconds may a caller go on resending one request', 120);
	const clockErrorMs = await asker.askCount('How far may your clocks be apart, in ms', 1000);
	const services: Answers['services'] = [];
	do {
		// eslint-disable-next-line no-await-in-loop
		services.push(await askService(asker));
		// eslint-disable-next-line no-await-in-loop
	} while (await asker.askYesNo('Another service', false));

	try {
		return parseAnswers({site, callers: {resendForMs, clockErrorMs}, services});
	} catch (error) {
		throw error instanceof ConfigError ? new UsageError(error.message) : error;
	}
}

async function askService(asker: Prompter): Promise<Answers['services'][number]> {
	const name = await asker.ask('A service\'s name', validateName);
	const upstreams = await asker.askCount(`How many targets has ${name}`, 3);
	const slots = await asker.askCount('How many requests does one target run at once', 50);
	const connections = await asker.askCount('How many connections does one target take', 200);
	const requests: Answers['services'][number]['requests'] = [];
	do {
		// eslint-disable-next-line no-await-in-loop
		requests.push(await askRequest(asker, name));
		// eslint-disable-next-line no-await-in-loop
	} while (await asker.askYesNo(`Another kind of request to ${name}`, false));

	return {
		name, upstreams, slots, connections, requests,
	};
}

async function askRequest(asker: Prompter, service: string): Promise<Answers['services'][number]['requests'][number]> {
	const name = await asker.ask(`A name for a kind of request to ${service}`, validateName);
	const kind = await asker.ask(`What is it (${REQUEST_KINDS.join(', ')})`, createChoiceValidator(REQUEST_KINDS));
	const method = await asker.ask('Its HTTP method', createChoiceValidator(['*', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']), 'GET');
	const path = await asker.ask('The beginning of its path', text => (text.startsWith('/') ? undefined : 'must begin with /'), `/${name}`);
	const waitMs = await asker.askCount('How long does a caller wait for it, in ms', 3000);
	const calls = await asker.ask('Which services does it call itself (names, or empty)', validateNames, '');
	const matters = await asker.ask(`How much does it matter (${IMPORTANCE_LEVELS.join(', ')}, usual)`, createChoiceValidator([...IMPORTANCE_LEVELS, 'usual']), 'usual');
	const repeatable = await asker.ask('Does running it twice do no harm (yes, no, usual)', createChoiceValidator(['yes', 'no', 'usual']), 'usual');
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
