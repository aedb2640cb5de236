import {defineConfig} from 'vitest/config';

const config = defineConfig({
	test: {
		include: ['test/**/*.test.ts'],
		testTimeout: 60_000,
	},
});

export default config;
