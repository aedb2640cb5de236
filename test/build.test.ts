import type nodeAssert from 'node:assert';
import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, mkdtempSync, openSync, readFileSync, readdirSync, rmSync, writeFileSync,
} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {describe, expect, it} from 'vitest';
import {bundle, bundleOptions} from '../scripts/bundle.mjs';
import {deployNodeFlags} from '../scripts/nodeflags.mjs';

it('bundles the program as CommonJS without errors, which the single executable requires', async () => {
	const {errors} = await build({...bundleOptions('src/cli/main.ts', 'cjs'), write: false, logLevel: 'silent'});
	expect(errors).toEqual([]);
});

// Guards against processes that end at once, without an error, because they load a bundle that is being written.
it('leaves the file of an earlier bundle as it is for those that have opened it', async () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'comfreydyke-bundle-'));
	const file = path.join(folder, 'bundle.mjs');
	try {
		await bundle('src/clock/index.ts', file);
		const opened = openSync(file, 'r');
		await bundle('src/wire/mergedhead.ts', file);
		expect(readFileSync(opened, 'utf8')).toContain('afterSockets');
		expect(readFileSync(file, 'utf8')).toContain('endsInStatusLine');
		expect(readdirSync(folder)).toEqual(['bundle.mjs']);
		closeSync(opened);
	} finally {
		rmSync(folder, {recursive: true, force: true});
	}
});

// Guards against a name that is undefined only where the bundle runs: the bundler doesn't check what it takes from these modules.
it.each([['undici', '../scripts/undicisubset.cjs'], ['hdr-histogram-js', '../scripts/hdrhistogramsubset.cjs']])('takes from %s only what its replacement in the bundle has', (library, replacement) => {
	const files = ['platform', 'src/relay', 'src/wire', 'src/log']
		.flatMap(folder => readdirSync(folder, {recursive: true, encoding: 'utf8'}).map(file => path.join(folder, file)))
		.filter(file => file.endsWith('.ts'));
	const names = files.flatMap(file => [...readFileSync(file, 'utf8').matchAll(/^import \{(?<names>[^\}]*)\} from '(?<source>[^']+)';$/gmv)]
		.filter(({groups}) => groups!.source === library)
		.flatMap(({groups}) => groups!.names.split(',').map(name => name.trim()).filter(name => !name.startsWith('type '))));
	const held = Object.keys(createRequire(import.meta.url)(replacement) as object);
	expect(names.length).toBeGreaterThan(0);
	expect(names.filter(name => !held.includes(name))).toEqual([]);
});

// Guards against a daemon that stands still for seconds because an assertion of a library failed: Node.js makes its message by parsing the bundle.
describe('a bundle', () => {
	it.each(['src/cli/main.ts', 'platform/snapshot.ts'])('of %s takes no assertions from Node.js but those that read no source', async entry => {
		const {outputFiles} = await build({...bundleOptions(entry, 'cjs'), write: false, logLevel: 'silent'});
		const [{text}] = outputFiles;
		expect([...text.matchAll(/require\("(?:node:)?assert(?:\/strict)?"\)/gv)]).toHaveLength(1);
	});

	it('has assertions that fail like those of Node.js, with a message of their own', () => {
		const assert: typeof nodeAssert = createRequire(import.meta.url)('../scripts/assert.cjs') as typeof nodeAssert;
		const checks: ReadonlyArray<(value: unknown, message?: string | Error) => void> = [assert, assert.ok, assert.strict, assert.strict.ok];
		const fails = (check: () => void) => {
			try {
				check();
			} catch (error) {
				const {code, message, generatedMessage} = error as Error & {code?: string; generatedMessage?: boolean};
				return [code, message, generatedMessage];
			}

			return undefined;
		};

		const other = new RangeError('other');
		expect(checks.map(check => [fails(() => {
			check(1);
		}), fails(() => {
			check(0);
		}), fails(() => {
			check(0, 'reason');
		}), fails(() => {
			check(0, other);
		})])).toEqual(Array.from({length: 4}, () => [undefined, ['ERR_ASSERTION', 'assertion failed', false], ['ERR_ASSERTION', 'reason', false], [undefined, 'other', undefined]]));
		expect(fails(() => {
			assert.strictEqual(1, 2, 'unequal');
		})?.[0]).toBe('ERR_ASSERTION');
	});
});

it('starts the daemon from its snapshot with the settings of the moment', async () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'comfreydyke-build-'));
	execFileSync(process.execPath, ['scripts/bundle-platform.mjs', folder]);
	const settingsFile = path.join(folder, 'settings.json');
	const anyPort = '127.0.0.1:0';
	writeFileSync(settingsFile, JSON.stringify({
		host: 'host-of-now', failureDomain: 'a', service: 's', target: anyPort, isFirstStart: true, seeds: [], announceIntervalMs: 1500, store: '127.0.0.1:1', bounds: {},
		listen: {
			requests: anyPort, peers: anyPort, readiness: anyPort, announcements: anyPort, metrics: anyPort,
		},
	}));
	const daemon = spawn(process.execPath, [...deployNodeFlags, '--snapshot-blob', path.join(folder, 'daemon.blob'), 'daemon'], {env: {COMFREYDYKE_SETTINGS: settingsFile}});
	try {
		const [line] = await once(daemon.stdout, 'data') as [unknown];
		expect(String(line)).toContain('event=started host=host-of-now');
	} finally {
		daemon.kill('SIGKILL');
		rmSync(folder, {recursive: true});
	}
}, 30_000);
