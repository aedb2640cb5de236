import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Readable, Writable} from 'node:stream';
import {cac} from 'cac';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {writeAnswers} from '../src/cli/config.js';
import {registerOperateCommands} from '../src/cli/sitecommands.js';
import {type Configuration, ConfigError} from '../src/config/index.js';
import {serviceObjectName} from '../src/core/index.js';
import {ConfigWriter, PlatformClient} from '../src/platform/index.js';
import {PlatformStandIn} from '../standins/platform.js';

const EXAMPLE = 'examples/threshold-adapt/configuration.json';

let platform: PlatformStandIn;
let url: string;
let folder: string;
let lines: string[];
let configuration: Configuration;

beforeEach(async () => {
	platform = new PlatformStandIn();
	url = `http://127.0.0.1:${await platform.listen('127.0.0.1', 0)}`;
	folder = await mkdtemp(path.join(tmpdir(), 'comfreydyke-'));
	lines = [];
	vi.spyOn(console, 'log').mockImplementation((line: string) => {
		lines.push(line);
	});
	configuration = JSON.parse(await readFile(EXAMPLE, 'utf8')) as Configuration;
});
afterEach(async () => {
	vi.restoreAllMocks();
	platform.close();
	await rm(folder, {recursive: true});
});

const write = async (name: string, value: unknown) => {
	const file = path.join(folder, name);
	await writeFile(file, JSON.stringify(value));
	return file;
};

const run = async (command: string, source: string) => {
	const cli = cac('comfreydyke');
	registerOperateCommands(cli);
	cli.parse(['node', 'comfreydyke', command, source, '--platform', url], {run: false});
	await cli.runMatchedCommand();
};

/** The configuration without a service that no other calls, and the name of that. */
const withoutOne = () => {
	const called = new Set(Object.values(configuration.services).flatMap(({operations}) => operations.flatMap(({calls}) => calls)));
	const removed = Object.keys(configuration.services).find(name => !called.has(name))!;
	return {removed, rest: {...configuration, services: Object.fromEntries(Object.entries(configuration.services).filter(([name]) => name !== removed))}};
};

describe('a service that a configuration no longer contains', () => {
	it('is shown by diff, removed by apply, and then no longer shown', async () => {
		await run('apply', await write('all.json', configuration));
		const {removed, rest} = withoutOne();
		const file = await write('rest.json', rest);
		lines = [];
		await run('diff', file);
		expect(lines.join('\n')).toMatch(new RegExp(String.raw`${serviceObjectName(removed)}.*generation 1[\s\S]*1 to change`, 'v'));
		await run('apply', file);
		const {object} = await new ConfigWriter(new PlatformClient(url, 2000)).read(serviceObjectName(removed));
		expect([object?.spec, object?.generation]).toEqual([undefined, 2]);
		lines = [];
		await run('diff', file);
		expect(lines).toEqual(['nothing to change']);
	});
});

describe('two files of a directory that define the same service', () => {
	it('are rejected with the names of both', async () => {
		const {removed, rest} = withoutOne();
		await write('a.json', rest);
		const services = {[removed]: configuration.services[removed]};
		await write('b.json', {services});
		await write('c.json', {services});
		const failure = run('diff', folder);
		await expect(failure).rejects.toThrow(ConfigError);
		await expect(failure).rejects.toThrow(new RegExp(String.raw`${removed}.*b\.json.*c\.json`, 'v'));
	});
});

describe('answers that don\'t match the schema only at the end', () => {
	it('are written to the file all the same, and the error says where', async () => {
		const longPath = `/${'x'.repeat(300)}`;
		const answers = ['shop', '', '', 'orders', '2', '10', '40', 'submit', 'submission', 'POST', longPath, '', '', '', '', 'no', 'no'];
		const file = path.join(folder, 'answers.json');
		const sink = new Writable({
			write(_chunk, _, done) {
				done();
			},
		});
		await expect(writeAnswers(Readable.from([answers.join('\n') + '\n']), sink, file)).rejects.toThrow(`the answers are in ${file}`);
		expect(JSON.parse(await readFile(file, 'utf8'))).toMatchObject({site: 'shop', services: [{requests: [{path: longPath}]}]});
	});
});
