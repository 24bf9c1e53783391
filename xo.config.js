/** @type {import('xo').FlatXoConfig} */
const xoConfig = [
	{
		ignores: ['src/generated/**', 'dist/**'],
	},
	{
		rules: {
			// Protobuf, headers and the platform's log service set names that are not camel case.
			'@typescript-eslint/naming-convention': 'off',
			// Reducers and codecs use null where JSON has it.
			'@typescript-eslint/no-restricted-types': 'off',
			// One event at a time is the point of the sequential loops here.
			'no-await-in-loop': 'off',
			// Collections of the immutable library are made without `new`.
			'new-cap': ['error', {capIsNewExceptions: ['Map', 'Set', 'List', 'OrderedMap', 'OrderedSet']}],
		},
	},
];

export default xoConfig;
