import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {getAsset, isSea} from 'node:sea';
import {setFlagsFromString} from 'node:v8';
import {compileFunction} from 'node:vm';

/*
Starts the program that belongs to the command. The agent has a bundle of its own, so that the source of the entry
is not in its memory. The binary holds both bundles; beside the binary they are files in the launcher's directory.
*/
const isAgent = process.argv[2] === 'agent';
const program = isAgent ? 'arbutushinge-agent.cjs' : 'arbutushinge.cjs';
if (isAgent) {
	// The young generation stays at its first size of 1 MB; by default it grows to 16 MB and stays there.
	setFlagsFromString('--semi-space-growth-factor=1');
}

const load = createRequire(isSea() ? process.execPath : process.argv[1] ?? process.execPath);
if (isSea()) {
	const start = compileFunction(getAsset(program, 'utf8'), ['require', 'module', 'exports'], {filename: program});
	const module = {exports: {}};
	start(load, module, module.exports); // eslint-disable-line @typescript-eslint/no-unsafe-call
} else {
	load(path.join(path.dirname(process.argv[1] ?? ''), program));
}
