import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';

const MAX_LINES = 400;

const filesOf = (folder: string): string[] => readdirSync(folder, {recursive: true, encoding: 'utf8'})
	.filter(file => file.endsWith('.ts'))
	.map(file => path.join(folder, file));

const importsOf = (file: string): string[] =>
	[...readFileSync(file, 'utf8').matchAll(/from '(?<source>[^']+)'/gv)].map(({groups}) => groups!.source);

const valueImportsOf = (file: string): string[] => readFileSync(file, 'utf8')
	.split(/;\n/v)
	.filter(line => /^\s*(?:import|export) /v.test(line) && !/^\s*import type /v.test(line) && hasValue(line))
	.flatMap(line => [.../from '(?<source>\.[^']+)'/v.exec(line)?.groups?.source === undefined ? [] : [/from '(?<source>\.[^']+)'/v.exec(line)!.groups!.source]]);

function hasValue(line: string): boolean {
	const names = /\{(?<names>[^\}]*)\}/v.exec(line)?.groups?.names ?? 'all';
	return names.split(',').some(name => name.trim() !== '' && !name.trim().startsWith('type '));
}

describe('the code\'s structure', () => {
	it('keeps the core free of IO', () => {
		const allowed = /^(?:\.\/|murmurhash$|pure-rand\/)/v;
		const strangers = filesOf('src/core').flatMap(file => importsOf(file).filter(source => !allowed.test(source)).map(source => `${file}: ${source}`));
		expect(strangers).toEqual([]);
	});

	it('keeps the mesh\'s decisions free of IO', () => {
		const allowed = /^(?:\.\/|\.\.\/core\/index\.js$)/v;
		const strangers = filesOf('src/mesh').flatMap(file => importsOf(file).filter(source => !allowed.test(source)).map(source => `${file}: ${source}`));
		expect(strangers).toEqual([]);
	});

	it('keeps clocks and chance out of the decisions', () => {
		const impure = [...filesOf('src/core'), ...filesOf('src/mesh')].filter(file => /Date\.now|Math\.random|performance\.|setTimeout|setInterval/v.test(readFileSync(file, 'utf8')));
		expect(impure).toEqual([]);
	});

	it('keeps files short', () => {
		const long = filesOf('src').filter(file => readFileSync(file, 'utf8').split('\n').length > MAX_LINES + 1);
		expect(long).toEqual([]);
	});

	it('has no import cycle', () => {
		const graph = new Map(filesOf('src').map(file => [file, valueImportsOf(file).map(source => path.join(path.dirname(file), source.replace(/\.js$/v, '.ts')))]));
		const cycles: string[] = [];
		const visit = (file: string, trail: readonly string[]) => {
			if (trail.includes(file)) {
				cycles.push([...trail.slice(trail.indexOf(file)), file].join(' > '));
				return;
			}

			for (const next of graph.get(file) ?? []) {
				if (cycles.length === 0) {
					visit(next, [...trail, file]);
				}
			}
		};

		for (const file of graph.keys()) {
			visit(file, []);
		}

		expect(cycles).toEqual([]);
	});
});
