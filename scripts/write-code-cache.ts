import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {agentFlags} from '../src/worker/agent-flags.js';
import {codeCacheNameOf, compileProgram} from '../src/worker/program-script.js';

/*
Usage: `write-code-cache.ts PROGRAM COMMAND --settings FILE`.
Runs the program as the launcher does until standard input is closed, and then writes its code cache. The process must be started with the
Node.js flags of its role, since V8 ignores a code cache that was made with other flags.
*/
const [node = '', , program = '', ...command] = process.argv;
const file = path.resolve(program);
if (command[0] === 'agent') {
	setFlagsFromString(agentFlags);
}

process.argv = [node, file, ...command];
const script = compileProgram({file, source: readFileSync(file, 'utf8')});
script.run(createRequire(file));
process.stdin.resume();
process.stdin.once('end', () => {
	writeFileSync(codeCacheNameOf(file), script.createCodeCache());
	process.exit(0); // eslint-disable-line unicorn/no-process-exit -- A normal exit would have to wait for the program's graceful shutdown.
});
