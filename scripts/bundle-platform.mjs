/* eslint-disable require-unicode-regexp -- esbuild's filters accept no flags */

/**
 * Bundles the daemon for the users' platform (or the entry point given second) and builds the
 * snapshot in `target/` (or the folder given first) from which it starts: hundreds of daemons start at once, and each is
 * charged for loading its code. The snapshot holds all modules as they are once
 * loaded, and no part of a library that the daemon doesn't use. It is valid for
 * the `node` and the flags that built it.
 */
import {execFileSync} from 'node:child_process';
import {renameSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';
import {bundleOptions} from './bundle.mjs';
import {deployNodeFlags} from './nodeflags.mjs';

const resolveHere = name => fileURLToPath(new URL(name, import.meta.url));

/** Where everything is written. */
const folder = process.argv[2] ?? 'target';
const entry = process.argv[3] ?? 'platform/snapshot.ts';

/** What stands in the bundle for a module that another imports, by the pattern of its path. */
const replacements = [
	[/^undici$/, 'undicisubset.cjs'],
	[/^hdr-histogram-js$/, 'hdrhistogramsubset.cjs'],
	[/^\.\/formatters$/, 'hdrformatters.cjs'],
	[/^(?:node:)?http$/, 'late/http.cjs'],
	[/^(?:node:)?https$/, 'late/https.cjs'],
	[/^(?:node:)?tls$/, 'late/tls.cjs'],
];

const replaceModules = {
	name: 'replace-modules',
	setup(bundler) {
		for (const [filter, file] of replacements) {
			const replacement = resolveHere(file);
			bundler.onResolve({filter}, ({path, importer}) => importer === replacement ? {path, external: true} : {path: replacement});
		}

		// The library goes without it, as it does where `node` lacks it.
		bundler.onResolve({filter: /^node:http2$/}, ({path}) => ({path, namespace: 'excluded'}));
	},
};

const options = bundleOptions(entry, 'iife');
await build({
	...options,
	plugins: [...options.plugins, replaceModules],
	sourcemap: 'external',
	minifyWhitespace: true,
	minifySyntax: true,
	legalComments: 'none',
	outfile: `${folder}/daemon.cjs`,
});
// A daemon that starts from an earlier snapshot meanwhile finds that or this one whole.
const unfinished = `${folder}/daemon.blob.${process.pid}`;
// Of each built-in module that the snapshot holds `node` warns that not all of its uses were verified.
execFileSync(process.execPath, [...deployNodeFlags, '--snapshot-blob', unfinished, '--build-snapshot', `${folder}/daemon.cjs`], {
	env: {...process.env, NODE_NO_WARNINGS: '1'}, stdio: 'inherit',
});
renameSync(unfinished, `${folder}/daemon.blob`);
