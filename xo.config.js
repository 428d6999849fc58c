/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', 'target/**', 'journal/**', '**/src/gen/**', '.tap/**', '**/tap-snapshots/**'],
	},
	{
		files: ['packages/**/*.ts', 'platform/**/*.ts'],
		rules: {
			// Node.js callbacks and generated messages use undefined and null side by side.
			'@typescript-eslint/no-restricted-types': 'off',
			// Abbreviations that are terms of the field are spelled as the field spells them.
			'unicorn/prevent-abbreviations': 'off',
			// One task for each connection awaits its steps in order.
			'no-await-in-loop': 'off',
			// Generated names and wire constants.
			'@typescript-eslint/naming-convention': 'off',
			'capitalized-comments': 'off',
			'n/prefer-global/process': ['error', 'always'],
			'unicorn/no-process-exit': 'off',
			// `TimerService.every` is taken for the array method of that name.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-method-this-argument': 'off',
			// A package's index exports folders that may hold types only for the time being.
			'@typescript-eslint/consistent-type-exports': 'off',
		},
	},
	{
		files: ['examples/**/*.js'],
		rules: {
			// Steps of an example run in order.
			'no-await-in-loop': 'off',
		},
	},
	{
		files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts'],
		rules: {
			// An assertion reads best with the awaited result in its line.
			'unicorn/no-await-expression-member': 'off',
			// Tap's `test` returns a promise that tap itself awaits.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];

export default config;
