/** XO's own rules; every exception names why it is made. */
const config = [
	{ignores: ['dist/**', 'target/**', '.build/**', 'vitest.config.ts']},
	{
		rules: {
			// ProseMirror's short names in small scopes are part of the house style.
			'unicorn/prevent-abbreviations': 'off',
			// Wire formats and metric names use other cases.
			'@typescript-eslint/naming-convention': 'off',
			// The bundler resolves the `.ts` endings that imports carry.
			'import-x/extensions': 'off',
			'n/file-extension-in-import': 'off',
			// Values from outside are checked by schemas and then asserted.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Digests and binary searches are made of bits.
			'no-bitwise': 'off',
			// The streams library observes EventEmitters, and they are the faster ones.
			'unicorn/prefer-event-target': 'off',
			// Settings come from JSON, in which null stands for "none".
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
];

export default config;
