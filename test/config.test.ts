import {readFileSync} from 'node:fs';
import {Readable, Writable} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {askAnswers, createExampleAnswers} from '../src/cli/questionnaire.js';
import {
	type ConfigError, configObjectSchema, generateConfiguration, findClosestMatch, parseAnswers, parseConfiguration, parseSettings,
} from '../src/config/index.js';

const readJson = (file: string): unknown => JSON.parse(readFileSync(file, 'utf8'));
const settings = {
	id: 'a', region: 'r', failureDomain: 'd', listen: {host: '127.0.0.1', port: 1}, platform: {url: 'http://127.0.0.1:1'}, siteKey: 'sixteen letters!',
};

function faultsOf(action: () => unknown): string[] {
	try {
		action();
	} catch (error) {
		return (error as ConfigError).faults.map(({path, reason}) => `${path}: ${reason}`);
	}

	return [];
}

describe('the settings parser', () => {
	it('fills in the defaults of omitted fields', () => {
		expect(parseSettings(settings).log.level).toBe('info');
	});

	it('reports all faults with their paths, not only the first', () => {
		const faults = faultsOf(() => parseSettings({...settings, siteKey: 'short', listen: {host: 'nowhere', port: 0}}));
		expect(faults.map(fault => fault.split(':')[0])).toEqual(expect.arrayContaining(['siteKey', 'listen.host', 'listen.port']));
	});

	it('suggests the closest field name for a mistyped one instead of ignoring it', () => {
		expect(faultsOf(() => parseSettings({...settings, regoin: 'x'}))).toEqual(['regoin: unknown field; did you mean "region"?']);
	});
});

describe('the configuration', () => {
	it.each(['threshold-adapt', 'riddim-roster'])('in examples/%s equals what its answers generate', site => {
		const answers = parseAnswers(readJson(`examples/${site}/answers.json`));
		expect(readJson(`examples/${site}/configuration.json`)).toEqual(generateConfiguration(answers));
	});

	it('ranks submissions above status checks, so that overload refuses status checks first', () => {
		const {site} = generateConfiguration(parseAnswers(readJson('examples/threshold-adapt/answers.json')));
		const rank = (name: string) => site.classes.find(candidate => candidate.name === name)!.rank;
		expect(rank('submission')).toBeGreaterThan(rank('status-check'));
	});

	it('rejects references to unknown classes and services and suggests the closest names', () => {
		const declaration = generateConfiguration(createExampleAnswers()) as unknown as {services: {orders: {operations: Array<Record<string, unknown>>}}};
		declaration.services.orders.operations[0].class = 'status-chek';
		declaration.services.orders.operations[0].calls = ['order'];
		expect(faultsOf(() => parseConfiguration(declaration))).toEqual([
			'services.orders.operations.0.class: unknown class "status-chek"; did you mean "status-check"?',
			'services.orders.operations.0.calls.0: unknown service "order"; did you mean "orders"?',
		]);
	});

	it('suggests a close word and nothing for a word unlike all others', () => {
		expect(findClosestMatch('platfrom', ['platform', 'out'])).toBe('platform');
		expect(findClosestMatch('zzz', ['platform'])).toBeUndefined();
	});
});

describe('the questionnaire', () => {
	it('repeats a question after an invalid answer', async () => {
		const lines = ['1bad', 'shop', '', '', 'orders', 'none', '2', '10', '40', 'submit', 'submission', 'POST', '', '', '', '', '', 'no', 'no'];
		let output = '';
		const answers = await askAnswers(Readable.from([lines.join('\n') + '\n']), new Writable({
			write(chunk, _, done) {
				output += String(chunk);
				done();
			},
		}));
		expect(answers.site).toBe('shop');
		expect(answers.services[0].requests[0]).toMatchObject({kind: 'submission', path: '/submit'});
		expect(output).toContain('must be an integer from 1 to 10000');
	});

	it('takes every number that the answers file allows, and asks again for any other', async () => {
		const lines = ['shop', '', '60001', '0', 'orders', '10001', '2', '10', '40', 'submit', 'submission', 'POST', '', '9', '10', '', '', '', 'no', 'no'];
		const answers = await askAnswers(Readable.from([lines.join('\n') + '\n']), new Writable({
			write(_chunk, _, done) {
				done();
			},
		}));
		expect([answers.callers.clockErrorMs, answers.services[0].upstreams, answers.services[0].requests[0].waitMs]).toEqual([0, 2, 10]);
	});

	it('fails when the input ends early instead of waiting or returning partial answers', async () => {
		const sink = new Writable({
			write(_chunk, _, done) {
				done();
			},
		});
		await expect(askAnswers(Readable.from(['shop\n']), sink)).rejects.toThrow('the input ended before all questions were answered');
	});
});

describe('a configuration object', () => {
	it('is rejected if its spec is of another kind than its name: a service spec as the site\'s, or the reverse', () => {
		const {services, site} = generateConfiguration(createExampleAnswers());
		const [service] = Object.values(services);
		const isValid = (name: string, spec: unknown) => configObjectSchema.safeParse({
			name, generation: 1, operationId: 'o', spec,
		}).success;
		expect([isValid('site', site), isValid('service/orders', service), isValid('site', service), isValid('service/orders', site)]).toEqual([true, true, false, false]);
	});
});
