import {readFileSync} from 'node:fs';
import {Readable, Writable} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {askAnswers, createExampleAnswers} from '../src/cli/questionnaire.js';
import {
	type ConfigError, configObjectSchema, generateConfiguration, findClosestMatch, parseAnswers, parseConfiguration, parseSettings,
} from '../src/config/index.js';

const read = (file: string): unknown => JSON.parse(readFileSync(file, 'utf8'));
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

describe('settings', () => {
	it('fill in what is left out', () => {
		expect(parseSettings(settings).log.level).toBe('info');
	});

	it('list every fault with its path', () => {
		const faults = faultsOf(() => parseSettings({...settings, siteKey: 'short', listen: {host: 'nowhere', port: 0}}));
		expect(faults.map(fault => fault.split(':')[0])).toEqual(expect.arrayContaining(['siteKey', 'listen.host', 'listen.port']));
	});

	it('name the nearest field for an unknown one', () => {
		expect(faultsOf(() => parseSettings({...settings, regoin: 'x'}))).toEqual(['regoin: no such field; did you mean "region"?']);
	});
});

describe('the configuration', () => {
	it.each(['threshold-adapt', 'riddim-roster'])('of %s is what its answers give', site => {
		const answers = parseAnswers(read(`examples/${site}/answers.json`));
		expect(read(`examples/${site}/configuration.json`)).toEqual(generateConfiguration(answers));
	});

	it('ranks submissions above status checks', () => {
		const {site} = generateConfiguration(parseAnswers(read('examples/threshold-adapt/answers.json')));
		const rank = (name: string) => site.classes.find(one => one.name === name)!.rank;
		expect(rank('submission')).toBeGreaterThan(rank('status-check'));
	});

	it('names an unknown class and service with the nearest', () => {
		const declaration = generateConfiguration(createExampleAnswers()) as unknown as {services: {orders: {operations: Array<Record<string, unknown>>}}};
		declaration.services.orders.operations[0].class = 'status-chek';
		declaration.services.orders.operations[0].calls = ['order'];
		expect(faultsOf(() => parseConfiguration(declaration))).toEqual([
			'services.orders.operations.0.class: no class "status-chek"; did you mean "status-check"?',
			'services.orders.operations.0.calls.0: no service "order"; did you mean "orders"?',
		]);
	});

	it('finds the nearest word', () => {
		expect(findClosestMatch('platfrom', ['platform', 'out'])).toBe('platform');
		expect(findClosestMatch('zzz', ['platform'])).toBeUndefined();
	});
});

describe('the questionnaire', () => {
	it('asks again until an answer is valid', async () => {
		const lines = ['1bad', 'shop', '', '', 'orders', 'none', '2', '10', '40', 'submit', 'submission', 'POST', '', '', '', '', '', 'no', 'no'];
		let asked = '';
		const answers = await askAnswers(Readable.from([lines.join('\n') + '\n']), new Writable({
			write(chunk, _, done) {
				asked += String(chunk);
				done();
			},
		}));
		expect(answers.site).toBe('shop');
		expect(answers.services[0].requests[0]).toMatchObject({kind: 'submission', path: '/submit'});
		expect(asked).toContain('must be a whole number above 0');
	});

	it('says so when the input ends early', async () => {
		const sink = new Writable({
			write(_chunk, _, done) {
				done();
			},
		});
		await expect(askAnswers(Readable.from(['shop\n']), sink)).rejects.toThrow('the input ended before the last question');
	});
});

describe('a configuration object', () => {
	it('must hold what its name says', () => {
		const {services, site} = generateConfiguration(createExampleAnswers());
		const [service] = Object.values(services);
		const isValid = (name: string, spec: unknown) => configObjectSchema.safeParse({
			name, generation: 1, operationId: 'o', spec,
		}).success;
		expect([isValid('site', site), isValid('service/orders', service), isValid('site', service), isValid('service/orders', site)]).toEqual([true, true, false, false]);
	});
});
