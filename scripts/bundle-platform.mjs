/** Bundles the daemon for the users' platform into `target/`. It has no source map, because every process would hold the map in memory. */
import {build} from 'esbuild';
import {bundleOptions} from './bundle.mjs';

await build({...bundleOptions('platform/main.ts', 'esm'), sourcemap: false, outfile: 'target/comfreydyke.mjs'});
