const folders = ['src', 'platform', 'stand-ins', 'demo', 'bench', 'soak'];

/** All tests; `npm test` runs those with hostile clients apart from the others. */
const ava = {
	files: folders.map(folder => `${folder}/**/*.test.ts`),
	extensions: {ts: 'module'},
	nodeArguments: ['--import=tsx'],
	workerThreads: false,
	timeout: '2m',
	require: ['./scripts/test-setup.ts'],
};

export default ava;
