/* eslint-disable require-unicode-regexp -- esbuild's filters accept no flags */

/** Bundles a TypeScript entry point into a single file with esbuild. */
import {renameSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const ASSERT = fileURLToPath(new URL('assert.cjs', import.meta.url));

const OPTIONAL_MODULES = /^(?:msgpackr-extract|unix-dgram|dtrace-provider|mv|safe-json-stringify|moment|bufferutil|utf-8-validate|source-map-support)$/;

// The libraries import these optional modules in a try block and work without them, so the bundle excludes them.
const excludeOptionalModules = {
	name: 'exclude-optional-modules',
	setup(bundler) {
		bundler.onResolve({filter: OPTIONAL_MODULES}, ({path}) => ({path, namespace: 'excluded'}));
		bundler.onLoad({filter: /.*/, namespace: 'excluded'}, () => ({contents: 'throw Object.assign(new Error(\'excluded from the bundle\'), {code: \'MODULE_NOT_FOUND\'});'}));
	},
};

const replaceAssert = {
	name: 'replace-assert',
	setup(bundler) {
		bundler.onResolve({filter: /^(?:node:)?assert$/}, ({path, importer}) => importer === ASSERT ? {path, external: true} : {path: ASSERT});
	},
};

/** Returns the esbuild options for an entry point, without the output file. */
export function bundleOptions(entry, format) {
	return {
		entryPoints: [entry],
		bundle: true,
		platform: 'node',
		target: 'node20',
		format,
		plugins: [excludeOptionalModules, replaceAssert],
		sourcemap: format === 'esm' ? 'inline' : false,
		banner: format === 'esm' ? {js: 'import {createRequire as __createRequire} from \'node:module\'; const require = __createRequire(import.meta.url);'} : {},
		logLevel: 'error',
		define: {COMFREYDYKE_VERSION: JSON.stringify(process.env.npm_package_version ?? '0.1.0')},
	};
}

/** Writes a bundle. Processes that load an earlier one from the same file meanwhile find that or this one whole. */
export async function bundle(entry, outfile, format = 'esm') {
	const unfinished = `${outfile}.${process.pid}`;
	await build({...bundleOptions(entry, format), outfile: unfinished});
	renameSync(unfinished, outfile);
}
