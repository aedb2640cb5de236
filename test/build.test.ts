import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync,
} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {expect, it} from 'vitest';
import {bundleOptions} from '../scripts/bundle.mjs';
import {deployNodeFlags} from '../scripts/nodeflags.mjs';

it('bundles the program as CommonJS without errors, which the single executable requires', async () => {
	const {errors} = await build({...bundleOptions('src/cli/main.ts', 'cjs'), write: false, logLevel: 'silent'});
	expect(errors).toEqual([]);
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
