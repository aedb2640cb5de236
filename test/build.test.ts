import {build} from 'esbuild';
import {expect, it} from 'vitest';
import {bundleOptions} from '../scripts/bundle.mjs';

it('bundles the program as CommonJS without errors, which the single executable requires', async () => {
	const {errors} = await build({...bundleOptions('src/cli/main.ts', 'cjs'), write: false, logLevel: 'silent'});
	expect(errors).toEqual([]);
});
