import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';

const MAX_LINES = 400;

const listFiles = (folder: string): string[] => readdirSync(folder, {recursive: true, encoding: 'utf8'})
	.filter(file => file.endsWith('.ts'))
	.map(file => path.join(folder, file));

const findImports = (file: string): string[] =>
	[...readFileSync(file, 'utf8').matchAll(/from '(?<source>[^']+)'/gv)].map(({groups}) => groups!.source);

const findValueImports = (file: string): string[] => readFileSync(file, 'utf8')
	.split(/;\n/v)
	.filter(line => /^\s*(?:import|export) /v.test(line) && !/^\s*import type /v.test(line) && importsValue(line))
	.flatMap(line => [.../from '(?<source>\.[^']+)'/v.exec(line)?.groups?.source === undefined ? [] : [/from '(?<source>\.[^']+)'/v.exec(line)!.groups!.source]]);

function importsValue(line: string): boolean {
	const names = /\{(?<names>[^\}]*)\}/v.exec(line)?.groups?.names ?? 'all';
	return names.split(',').some(name => name.trim() !== '' && !name.trim().startsWith('type '));
}

describe('source structure', () => {
	it('fails if src/core imports anything but its own files and pure libraries', () => {
		const allowed = /^(?:\.\/|murmurhash$|pure-rand\/)/v;
		const violations = listFiles('src/core').flatMap(file => findImports(file).filter(source => !allowed.test(source)).map(source => `${file}: ${source}`));
		expect(violations).toEqual([]);
	});

	it('fails if src/mesh imports anything but its own files and src/core', () => {
		const allowed = /^src\/(?:mesh\/|core\/index\.js$)/v;
		const violations = listFiles('src/mesh').flatMap(file => findImports(file).filter(source => !allowed.test(path.join(path.dirname(file), source))).map(source => `${file}: ${source}`));
		expect(violations).toEqual([]);
	});

	it('fails if src/core or src/mesh uses a clock, a timer or randomness of the runtime', () => {
		const impureFiles = [...listFiles('src/core'), ...listFiles('src/mesh')].filter(file => /Date\.now|Math\.random|performance\.|setTimeout|setInterval/v.test(readFileSync(file, 'utf8')));
		expect(impureFiles).toEqual([]);
	});

	it('fails if a file of src has more than 400 lines', () => {
		const longFiles = listFiles('src').filter(file => readFileSync(file, 'utf8').split('\n').length > MAX_LINES + 1);
		expect(longFiles).toEqual([]);
	});

	it('fails if value imports of src form a cycle', () => {
		const graph = new Map(listFiles('src').map(file => [file, findValueImports(file).map(source => path.join(path.dirname(file), source.replace(/\.js$/v, '.ts')))]));
		const cycles: string[] = [];
		const findCycles = (file: string, ancestors: readonly string[]) => {
			if (ancestors.includes(file)) {
				cycles.push([...ancestors.slice(ancestors.indexOf(file)), file].join(' > '));
				return;
			}

			for (const next of graph.get(file) ?? []) {
				if (cycles.length === 0) {
					findCycles(next, [...ancestors, file]);
				}
			}
		};

		for (const file of graph.keys()) {
			findCycles(file, []);
		}

		expect(cycles).toEqual([]);
	});
});
