import path from 'node:path';
import {build, type BuildOptions, type Metafile} from 'esbuild';

export const wholeBundleName = 'arbutushinge.cjs';
export const agentBundleName = 'arbutushinge-agent.cjs';
export const launcherName = 'launcher.cjs';

const common = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	minifyWhitespace: true,
	metafile: true,
	logLevel: 'warning',
} as const satisfies BuildOptions;

// An optional dependency of hot-shots for Unix sockets, which is loaded only when such a socket is configured.
const optionalModules = ['unix-dgram'];

/** Modules that the agent's bundle must not contain. */
const excludedModule = /^src\/(?:entry|requests|placement|dispatch|log)\/|node_modules\/undici\/|node_modules\/zod\/v4\/classic\//v;

/**
Bundles the programs into CommonJS files; modules that are imported dynamically are evaluated at their first import.

@example
const metafiles = await bundlePrograms('dist');
*/
export async function bundlePrograms(directory: string): Promise<readonly Metafile[]> {
	const [whole, agent, launcher] = await Promise.all([
		build({
			...common, entryPoints: ['src/main.ts'], outfile: path.join(directory, wholeBundleName), external: optionalModules,
		}),
		// The agent's commands never import the excluded modules, whose source alone would take memory.
		build({
			...common,
			entryPoints: ['src/main.ts'],
			outfile: path.join(directory, agentBundleName),
			external: [
				...optionalModules,
				'./entry/*',
				'../platform/open-entry-platform.js',
				'../../platform/check-configuration.js',
				'./entry-settings.js',
				'./deployment-settings.js',
				...['plan', 'confirm', 'status', 'explain', 'timeline', 'replay', 'check-settings', 'check-configuration'].map(name => `./${name}-command.js`),
				'./parse-intent-options.js',
				'./replay-functions.js',
			],
		}),
		build({...common, entryPoints: ['src/worker/launcher.ts'], outfile: path.join(directory, launcherName)}),
	]);
	const excluded = Object.keys(agent.metafile.inputs).filter(name => excludedModule.test(name));
	if (excluded.length > 0) {
		throw new Error(`the agent's bundle contains excluded modules: ${excluded.join(', ')}`);
	}

	return [whole, agent, launcher].map(({metafile}) => metafile);
}
