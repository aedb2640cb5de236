/* eslint-disable require-unicode-regexp -- esbuild's filters accept no flags */

/**
 * Bundles the daemon for the users' platform into `target/`. Hundreds of them
 * start at once, and each is charged for loading its code: the bundle has no
 * source map and no part of a library that the daemon doesn't use, and lies
 * beside a cache of its compiled code.
 */
import {execFileSync} from 'node:child_process';
import {copyFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';
import {bundleOptions} from './bundle.mjs';
import {deployNodeFlags} from './nodeflags.mjs';

const resolveHere = name => fileURLToPath(new URL(name, import.meta.url));

/** What stands in the bundle for a module that another imports, by the pattern of its path. */
const replacements = [
	[/^undici$/, 'undicisubset.cjs'],
	[/^hdr-histogram-js$/, 'hdrhistogramsubset.cjs'],
	[/^\.\/formatters$/, 'hdrformatters.cjs'],
];

const replaceModules = {
	name: 'replace-modules',
	setup(bundler) {
		for (const [filter, file] of replacements) {
			bundler.onResolve({filter}, () => ({path: resolveHere(file)}));
		}
	},
};

const options = bundleOptions('platform/main.ts', 'cjs');
await build({
	...options,
	plugins: [...options.plugins, replaceModules],
	sourcemap: 'external',
	minifyWhitespace: true,
	minifySyntax: true,
	legalComments: 'none',
	outfile: 'target/daemon.cjs',
});
copyFileSync(resolveHere('loader.cjs'), 'target/comfreydyke.cjs');

// The daemon that fills the cache listens on ports of the loopback address that the system chooses, and finds no store.
const anyPort = '127.0.0.1:0';
writeFileSync('target/warmup.json', JSON.stringify({
	host: 'warmup',
	failureDomain: 'a',
	service: 's',
	target: anyPort,
	listen: {
		requests: anyPort, peers: anyPort, readiness: anyPort, announcements: anyPort, metrics: anyPort,
	},
	isFirstStart: true,
	seeds: [],
	announceIntervalMs: 1500,
	store: '127.0.0.1:1',
	bounds: {},
}));
execFileSync(process.execPath, [...deployNodeFlags, 'target/comfreydyke.cjs', '--write-cache'], {
	env: {...process.env, COMFREYDYKE_SETTINGS: 'target/warmup.json'}, stdio: ['ignore', 'ignore', 'inherit'],
});
