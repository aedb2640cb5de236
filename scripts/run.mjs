/** Bundles a TypeScript program and runs it in this process: `node scripts/run.mjs ENTRY [ARGUMENT ...]`. */
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {bundle} from './bundle.mjs';

/** Entry points that other programs start as separate processes, so they are bundled too. */
const PROCESSES = ['src/cli/main.ts', 'standins/main.ts'];

const [entry, ...rest] = process.argv.slice(2);
const outfile = path.resolve('.build', entry.replace(/\.ts$/v, '.mjs'));
await Promise.all([entry, ...PROCESSES].map(async file => bundle(file, path.resolve('.build', file.replace(/\.ts$/v, '.mjs')))));
process.argv = [process.argv[0], outfile, ...rest];
await import(pathToFileURL(outfile).href);
