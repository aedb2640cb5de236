/** Bundles the daemon for the users' platform into `target/`, without a source map: each process would hold it in memory. */
import {build} from 'esbuild';
import {bundleOptions} from './bundle.mjs';

await build({...bundleOptions('platform/main.ts', 'esm'), sourcemap: false, outfile: 'target/comfreydyke.mjs'});
