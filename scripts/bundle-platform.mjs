/* eslint-disable require-unicode-regexp -- esbuild's filters accept no flags */

/**
 * Bundles the daemon for the users' platform into `target/`. Hundreds of them
 * start at once, and each is charged for loading its code: the bundle has no
 * source map and no part of a library that the daemon doesn't use, and lies
 * beside a cache of its compiled code.
 */
import {copyFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';
import {warmUp} from '../platform/warmup.mjs';
import {bundleOptions} from './bundle.mjs';

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

const served = await warmUp('target');
if (served === 0) {
	console.warn('the warm-up served no call, so each daemon compiles what calls use by itself');
}
