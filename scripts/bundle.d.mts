import {type BuildOptions} from 'esbuild';

/** What esbuild is told for an entry, without where the result goes. */
export function bundleOptions(entry: string, format: 'esm' | 'cjs'): BuildOptions;
export function bundle(entry: string, outfile: string, format?: 'esm' | 'cjs'): Promise<void>;
