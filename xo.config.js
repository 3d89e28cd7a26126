/** XO's rules. The exceptions are explained in docs/DESIGN.md. */
export default [
	{ignores: ['**/dist/**', '**/generated/**']},
	{
		rules: {
			'import-x/extensions': 'off',
			'n/file-extension-in-import': 'off',
			'no-await-in-loop': 'off',
			'max-params': ['error', {max: 6}],
			'new-cap': ['error', {newIsCap: true, capIsNew: false}],
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			'@typescript-eslint/no-restricted-types': 'off',
			'@typescript-eslint/only-throw-error': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			'@typescript-eslint/naming-convention': [
				'error',
				{selector: 'variable', modifiers: ['const', 'global'], format: ['strictCamelCase', 'UPPER_CASE', 'StrictPascalCase']},
				{selector: 'variable', format: ['strictCamelCase']},
				{selector: 'function', format: ['strictCamelCase']},
				{selector: 'typeLike', format: ['StrictPascalCase']},
			],
		},
	},
	{
		files: ['**/tests/**/*.ts', 'fakes/**/*.ts'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
	{
		files: ['**/tests/**/*.ts'],
		languageOptions: {parserOptions: {project: 'tests/tsconfig.json', projectService: false}},
	},
	{
		files: ['scripts/**', 'bench/**'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];
