/** Builds the single executable: packs the bundle into a Node.js single-executable blob and injects it into a copy of this `node`. */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {inject} from 'postject';
import {bundle} from './bundle.mjs';

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const output = 'dist/comfreydyke';

mkdirSync('dist', {recursive: true});
await bundle('src/cli/main.ts', 'dist/comfreydyke.cjs', 'cjs');
writeFileSync('dist/sea.json', JSON.stringify({main: 'dist/comfreydyke.cjs', output: 'dist/comfreydyke.blob', disableExperimentalSEAWarning: true}));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {stdio: 'inherit'});
copyFileSync(process.execPath, output);
chmodSync(output, 0o755);
await inject(output, 'NODE_SEA_BLOB', readFileSync('dist/comfreydyke.blob'), {sentinelFuse: FUSE});
console.log(`built ${output}`);
