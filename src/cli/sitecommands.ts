import {readdir, stat} from 'node:fs/promises';
import path from 'node:path';
import {isDeepStrictEqual} from 'node:util';
import {type CAC} from 'cac';
import {request} from 'undici';
import {type Configuration, ConfigError, parseConfiguration} from '../config/index.js';
import {
	SITE_OBJECT_NAME, type Explanation, type ServiceSpec, type SiteSpec, type DaemonStatus, serviceObjectName,
} from '../core/index.js';
import {ConfigWriter, PlatformClient, PlatformError} from '../platform/index.js';
import {
	type OrganisationAnswer, type RelayStatus, ORGANISATION_PATH, STATUS_PATH, hashPrefixOf,
} from '../relay/index.js';
import {readJson, formatJson} from './file.js';
import {formatExplanation, formatStatus} from './format.js';
import {formatOrganisation, formatRelayStatus} from './relayformat.js';

const REQUEST_TIMEOUT_MS = 3000;
const DEFAULT_PLATFORM = 'http://127.0.0.1:7000';

type PlatformOptions = {platform: string};
/** The spec of a configuration object; undefined if the object is to be removed. */
type Spec = SiteSpec | ServiceSpec | undefined;

/** Adds the commands that configure and inspect a running site. */
export function registerOperateCommands(cli: CAC): void {
	cli.command('apply <path>', 'Write a configuration file, or a directory of them, to the platform')
		.option('--platform <url>', 'The URL of the platform\'s object API', {default: DEFAULT_PLATFORM})
		.action(apply);
	cli.command('diff <path>', 'Show what "apply" would change')
		.option('--platform <url>', 'The URL of the platform\'s object API', {default: DEFAULT_PLATFORM})
		.action(diff);
	cli.command('status <...addresses>', 'Show the status of the daemons at the addresses HOST:PORT')
		.option('--json', 'Print the full status as JSON')
		.action(status);
	cli.command('explain <address> <subject> [requestPath]', 'Show what would happen to a request for a service at the daemon at HOST:PORT; or, at a metrics address, what is in force for the organisation with this name or key')
		.option('--method <method>', 'The HTTP method of the request', {default: 'GET'})
		.option('--key <key>', 'The idempotency key of the request')
		.option('--json', 'Print the explanation as JSON')
		.action(explain);
}

async function apply(source: string, {platform}: PlatformOptions): Promise<void> {
	const writer = createWriter(platform);
	const wanted = withRemovals(toConfigObjects(await readConfiguration(source)), await writer.listNames());
	const bases = await Promise.all([...wanted].map(async ([name, spec]) => ({name, spec, base: await writer.read(name)})));
	let changeCount = 0;
	for (const {name, spec, base} of bases) {
		// Writes one object after the other, so that the objects after a conflict stay as they are.
		// eslint-disable-next-line no-await-in-loop
		const {generation, result} = await writer.write(name, spec, base);
		changeCount += result === 'unchanged' ? 0 : 1;
		console.log(`${name}: ${result}, generation ${generation}`);
	}

	console.log(changeCount === 0 ? 'nothing to change' : `${changeCount} changed`);
}

async function diff(source: string, {platform}: PlatformOptions): Promise<void> {
	const writer = createWriter(platform);
	const wanted = withRemovals(toConfigObjects(await readConfiguration(source)), await writer.listNames());
	let changeCount = 0;
	for (const [name, spec] of wanted) {
		// eslint-disable-next-line no-await-in-loop
		const {object} = await writer.read(name);
		if (!isDeepStrictEqual(object?.spec, spec)) {
			changeCount++;
			console.log(`--- ${name}, generation ${object?.generation ?? 0}\n${diffLines(formatJson(object?.spec ?? {}), formatJson(spec ?? {}))}`);
		}
	}

	console.log(changeCount === 0 ? 'nothing to change' : `${changeCount} to change`);
}

async function status(addresses: string[], {json}: {json?: boolean}): Promise<void> {
	const all = await Promise.all(addresses.map(async address => fetchJson<DaemonStatus | RelayStatus>(address, STATUS_PATH)));
	console.log(json === true ? JSON.stringify(all, undefined, 2) : all.map(one => 'accountants' in one ? formatRelayStatus(one) : formatStatus(one)).join('\n\n'));
}

async function explain(address: string, subject: string, requestPath: string | undefined, options: {method: string; key?: string; json?: boolean}): Promise<void> {
	// Only the beginning of a hash leaves this process: the subject may be a key.
	const hash = hashPrefixOf(subject);
	const organisationAnswer = await fetchJson<OrganisationAnswer | {readonly isByKey?: undefined}>(address, `${ORGANISATION_PATH}?hash=${hash}`);
	if (organisationAnswer.isByKey !== undefined) {
		console.log(options.json === true ? JSON.stringify(organisationAnswer, undefined, 2) : formatOrganisation(organisationAnswer, hash));
		return;
	}

	const query = new URLSearchParams({service: subject, method: options.method, path: requestPath ?? '/'});
	if (options.key !== undefined) {
		query.set('key', options.key);
	}

	const explanation = await fetchJson<Explanation>(address, `/_comfreydyke/explain?${query.toString()}`);
	console.log(options.json === true ? JSON.stringify(explanation, undefined, 2) : formatExplanation(explanation));
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

// Merges the files of a directory in the order of their names; each may contain some of the services.
async function readConfiguration(source: string): Promise<Configuration> {
	const info = await stat(source).catch(() => undefined);
	if (info?.isDirectory() !== true) {
		return parseConfiguration(await readJson(source));
	}

	const names = await readdir(source);
	const files = names.filter(file => file.endsWith('.json')).toSorted();
	const parts = await Promise.all(files.map(async file => readJson(path.join(source, file)) as Promise<Partial<Configuration>>));
	let merged: Partial<Configuration> = {};
	const definedIn = new Map<string, string>();
	for (const [index, part] of parts.entries()) {
		const names = [...(part.site === undefined ? [] : ['site']), ...Object.keys(part.services ?? {}).map(name => `services.${name}`)];
		for (const name of names) {
			const earlier = definedIn.get(name);
			if (earlier !== undefined) {
				throw new ConfigError([{path: name, reason: `defined in both ${earlier} and ${files[index]}`}]);
			}

			definedIn.set(name, files[index]);
		}

		merged = {...merged, ...part, services: {...merged.services, ...part.services}};
	}

	return parseConfiguration(merged);
}

// The removals come last, so that no service is removed before those that call it have changed.
function withRemovals(wanted: ReadonlyMap<string, Spec>, storedNames: readonly string[]): Map<string, Spec> {
	const removed = storedNames.filter(name => !wanted.has(name));
	return new Map([...wanted, ...removed.map((name): [string, Spec] => [name, undefined])]);
}

function toConfigObjects({site, services}: Configuration): Map<string, Spec> {
	return new Map<string, Spec>([
		[SITE_OBJECT_NAME, site],
		...Object.entries(services).map(([name, spec]): [string, Spec] => [serviceObjectName(name), spec]),
	]);
}

// Lists the lines that only one of the texts contains; order and repeated lines don't count.
function diffLines(before: string, after: string): string {
	const oldLines = before.split('\n');
	const newLines = after.split('\n');
	const removed = oldLines.filter(line => !newLines.includes(line)).map(line => `- ${line}`);
	const added = newLines.filter(line => !oldLines.includes(line)).map(line => `+ ${line}`);
	return [...removed, ...added].join('\n');
}
