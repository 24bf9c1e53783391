import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {agentFlags} from '../src/worker/agent-flags.js';
import {codeCacheNameOf, compileProgram} from '../src/worker/program-script.js';

/*
Runs the program in the argument after the script as the launcher does, for as long as its standard input is open, and writes its code
cache: `write-code-cache.ts PROGRAM COMMAND --settings FILE`. The flags of the process must be those of the role.
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
	process.exit(0); // eslint-disable-line unicorn/no-process-exit -- The program's own end would take its graceful stop.
});
