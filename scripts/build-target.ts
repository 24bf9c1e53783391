import {mkdir, rm} from 'node:fs/promises';
import {messageOf} from '../src/errors/message-of.js';
import {bundlePrograms} from './bundle-programs.js';
import {writeCodeCaches} from './write-code-caches.js';

/** Directory in which the platform's deploy file expects the output of the build. */
const directory = 'target';

await rm(directory, {recursive: true, force: true});
await mkdir(directory);
await bundlePrograms(directory);
try {
	await writeCodeCaches(directory);
} catch (error) {
	console.error(`the code caches could not be written, so processes start more slowly: ${messageOf(error)}`);
}
