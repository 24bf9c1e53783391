import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {agentV8Flags} from '../src/worker/agent-v8-flags.js';
import {codeCachePathOf, compileProgram} from '../src/worker/program-script.js';

/*
Usage: `write-code-cache.ts PROGRAM COMMAND --settings FILE`.
Runs the program as the launcher does until standard input is closed, and then writes its code cache. The process must be started with the
Node.js flags of its role, since V8 ignores a code cache that was made with other flags.
*/
const [node = '', , program = '', ...command] = process.argv;
const file = path.resolve(program);
if (command[0] === 'agent') {
	setFlagsFromString(agentV8Flags);
}

process.argv = [node, file, ...command];
const script = compileProgram({file, source: readFileSync(file, 'utf8')});
script.run(createRequire(file));
process.stdin.resume();
process.stdin.once('end', () => {
	writeFileSync(codeCachePathOf(file), script.createCodeCache());
	process.exit(0); // eslint-disable-line unicorn/no-process-exit -- A normal exit would have to wait for the program's graceful shutdown.
});
