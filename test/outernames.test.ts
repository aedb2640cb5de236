import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';

const LIST = 'test/outernames.txt';
const FOLDERS = ['src', 'platform', 'deploy', 'standins', 'demo', 'proof', 'bench'];
const COMMENT = /\/\*[\s\S]*?\*\/|^\s*\/\/.*$/gmv;
/** What a name may look like: an identifier, a hyphenated word or flag, a path or a dotted name. */
const SHAPES = [/[\w$]+/gv, /[\w$\-]+/gv, /[\w$\-\/.%]+/gv];

// Clients, targets, peers, settings files, the store and operators' tools know these names; renaming one would break them.
describe('the names that leave the process', () => {
	it('still stand in the code, letter for letter', () => {
		const files = FOLDERS.flatMap(folder => readdirSync(folder, {recursive: true, encoding: 'utf8'}).map(file => path.join(folder, file)));
		const code = files.filter(file => /\.(?:ts|json|toml)$/v.test(file)).map(file => readFileSync(file, 'utf8').replaceAll(COMMENT, '')).join('\n');
		const found = new Set(SHAPES.flatMap(shape => code.match(shape)!));
		const names = readFileSync(LIST, 'utf8').split('\n').filter(name => name !== '');
		expect(names.length).toBeGreaterThan(0);
		expect(names.filter(name => !found.has(name))).toEqual([]);
	});
});
