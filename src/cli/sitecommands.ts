import {readdir, stat} from 'node:fs/promises';
import path from 'node:path';
import {isDeepStrictEqual} from 'node:util';
import {type CAC} from 'cac';
import {request} from 'undici';
import {type Configuration, parseConfiguration} from '../config/index.js';
import {
	SITE_OBJECT_NAME, type Explanation, type ServiceSpec, type SiteSpec, type DaemonStatus, serviceObjectName,
} from '../core/index.js';
import {ConfigWriter, PlatformClient, PlatformError} from '../platform/index.js';
import {readJson, formatJson} from './file.js';
import {formatExplanation, formatStatus} from './format.js';

const REQUEST_TIMEOUT_MS = 3000;
const DEFAULT_PLATFORM = 'http://127.0.0.1:7000';

type PlatformOptions = {platform: string};
type Spec = SiteSpec | ServiceSpec;

/** Adds the commands that deal with a running site. */
export function registerOperateCommands(cli: CAC): void {
	cli.command('apply <path>', 'Bring a configuration file, or a directory of them, into force')
		.option('--platform <url>', 'The platform\'s object API', {default: DEFAULT_PLATFORM})
		.action(apply);
	cli.command('diff <path>', 'Show what apply would change')
		.option('--platform <url>', 'The platform\'s object API', {default: DEFAULT_PLATFORM})
		.action(diff);
	cli.command('status <...addresses>', 'Show what daemons at HOST:PORT have')
		.option('--json', 'Print everything as JSON')
		.action(status);
	cli.command('explain <address> <service> [requestPath]', 'Say what would happen to a request at the daemon at HOST:PORT')
		.option('--method <method>', 'Its HTTP method', {default: 'GET'})
		.option('--key <key>', 'Its idempotency key')
		.option('--json', 'Print it as JSON')
		.action(explain);
}

async function apply(source: string, {platform}: PlatformOptions): Promise<void> {
	const wanted = toConfigObjects(await readConfiguration(source));
	const writer = createWriter(platform);
	const bases = await Promise.all([...wanted].map(async ([name, spec]) => ({name, spec, base: await writer.read(name)})));
	let changes = 0;
	for (const {name, spec, base} of bases) {
		// One after the other, so that a conflict leaves the rest untouched.
		// eslint-disable-next-line no-await-in-loop
		const {generation, result} = await writer.write(name, spec, base);
		changes += result === 'unchanged' ? 0 : 1;
		console.log(`${name}: ${result}, generation ${generation}`);
	}

	console.log(changes === 0 ? 'nothing to change' : `${changes} changed`);
}

async function diff(source: string, {platform}: PlatformOptions): Promise<void> {
	const wanted = toConfigObjects(await readConfiguration(source));
	const writer = createWriter(platform);
	let changes = 0;
	for (const [name, spec] of wanted) {
		// eslint-disable-next-line no-await-in-loop
		const {object} = await writer.read(name);
		if (!isDeepStrictEqual(object?.spec, spec)) {
			changes++;
			console.log(`--- ${name}, generation ${object?.generation ?? 0}\n${diffLines(formatJson(object?.spec ?? {}), formatJson(spec))}`);
		}
	}

	console.log(changes === 0 ? 'nothing to change' : `${changes} to change`);
}

async function status(addresses: string[], {json}: {json?: boolean}): Promise<void> {
	const all = await Promise.all(addresses.map(async address => fetchJson<DaemonStatus>(address, '/_comfreydyke/status')));
	console.log(json === true ? JSON.stringify(all, undefined, 2) : all.map(one => formatStatus(one)).join('\n\n'));
}

async function explain(address: string, service: string, requestPath: string | undefined, options: {method: string; key?: string; json?: boolean}): Promise<void> {
	const query = new URLSearchParams({service, method: options.method, path: requestPath ?? '/'});
	if (options.key !== undefined) {
		query.set('key', options.key);
	}

	const answer = await fetchJson<Explanation>(address, `/_comfreydyke/explain?${query.toString()}`);
	console.log(options.json === true ? JSON.stringify(answer, undefined, 2) : formatExplanation(answer));
}

async function fetchJson<T>(address: string, requestPath: string): Promise<T> {
	try {
		const response = await request(`http://${address}${requestPath}`, {headersTimeout: REQUEST_TIMEOUT_MS});
		return await response.body.json() as T;
	} catch (error) {
		throw new PlatformError(0, `${address}: ${(error as Error).message}`, error);
	}
}

function createWriter(platform: string): ConfigWriter {
	return new ConfigWriter(new PlatformClient(platform, REQUEST_TIMEOUT_MS));
}

// A directory's files are merged; each may hold some of the services.
async function readConfiguration(source: string): Promise<Configuration> {
	const info = await stat(source).catch(() => undefined);
	if (info?.isDirectory() !== true) {
		return parseConfiguration(await readJson(source));
	}

	const names = await readdir(source);
	const files = names.filter(file => file.endsWith('.json')).toSorted();
	const parts = await Promise.all(files.map(async file => readJson(path.join(source, file)) as Promise<Partial<Configuration>>));
	let merged: Partial<Configuration> = {};
	for (const part of parts) {
		merged = {...merged, ...part, services: {...merged.services, ...part.services}};
	}

	return parseConfiguration(merged);
}

function toConfigObjects({site, services}: Configuration): Map<string, Spec> {
	return new Map<string, Spec>([
		[SITE_OBJECT_NAME, site],
		...Object.entries(services).map(([name, spec]): [string, Spec] => [serviceObjectName(name), spec]),
	]);
}

function diffLines(before: string, after: string): string {
	const old = before.split('\n');
	const next = after.split('\n');
	const removed = old.filter(line => !next.includes(line)).map(line => `- ${line}`);
	const added = next.filter(line => !old.includes(line)).map(line => `+ ${line}`);
	return [...removed, ...added].join('\n');
}
